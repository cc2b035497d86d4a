#ifndef TESTS_SUPPORT_BYTE_SERVER_H_
#define TESTS_SUPPORT_BYTE_SERVER_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <list>
#include <string>
#include <thread>

namespace samphire {

// Accepts connections on a loopback port, and hands the bytes that come on each
// to a handler, on a thread of the connection's own.
class byte_server {
 public:
  // Called after each read with all bytes that the handler has left in `input`.
  // Returns whether the connection goes on.
  using input_handler =
      std::function<bool(Poco::Net::StreamSocket& socket, std::string& input)>;

  // The handler is called by several threads at a time, and no more once the
  // server is destroyed.
  explicit byte_server(input_handler on_input);
  ~byte_server();

  // IP:PORT at which it listens.
  const std::string& address() const { return address_; }

 private:
  void AcceptAll(const std::stop_token& stop);
  void Serve(Poco::Net::StreamSocket socket, const std::stop_token& stop);

  const input_handler on_input_;
  Poco::Net::ServerSocket listener_;
  const std::string address_;
  std::list<std::jthread> connections_;
  std::jthread acceptor_;
};

}  // namespace samphire

#endif  // TESTS_SUPPORT_BYTE_SERVER_H_
