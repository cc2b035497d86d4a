#ifndef TESTS_PLATFORM_ADAPTER_RAW_STORE_H_
#define TESTS_PLATFORM_ADAPTER_RAW_STORE_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <mutex>
#include <string>
#include <thread>

namespace samphire::platform {

// Answers each connection with the bytes that a test sets, and closes it.
// Thread-safe.
class raw_store {
 public:
  raw_store();

  // IP:PORT at which the store can be reached.
  std::string address() const { return listener_.address().toString(); }
  void SetAnswer(std::string answer);
  // The same for watches alone; empty for the answer of all calls.
  void SetAnswerToWatches(std::string answer);

 private:
  void ServeAll(const std::stop_token& stop);
  void Serve(Poco::Net::StreamSocket& socket);

  Poco::Net::ServerSocket listener_;
  std::mutex lock_;
  std::string answer_;
  std::string answer_to_watches_;
  std::jthread thread_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_RAW_STORE_H_
