#ifndef REVIEW_STAND_INS_HTTP_CONNECTION_H_
#define REVIEW_STAND_INS_HTTP_CONNECTION_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace review {

// A message of HTTP/1.1. Names of headers are in lower case.
struct http_message {
  // Request line or status line.
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
  // Whether the whole body was received.
  bool complete = false;

  std::string Get(const std::string& name) const;
  // Status of a response; 0 if the first line is none of a response.
  int status() const;
};

// A blocking TCP connection that carries HTTP messages. Not thread-safe, but
// Shutdown() may be called from any thread.
class http_connection {
 public:
  // Takes over an accepted socket.
  explicit http_connection(int descriptor);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  // Opens a connection to IP:PORT, for a second at most, as clients do. Returns
  // the socket, or -1.
  static int Open(const std::string& address);

  bool is_open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  // Returns false if the other side has closed the connection.
  bool Send(const std::string& bytes) const;
  // Reads one message, for `timeout` at most. Returns nothing if no complete
  // head arrives; a message with a truncated body is not complete.
  std::optional<http_message> Receive(std::chrono::milliseconds timeout);
  // Whether the other side has closed the connection.
  bool IsClosedByPeer() const;
  // Ends the connection in both directions; its reader and writer fail.
  void Shutdown() const;

 private:
  // Appends what arrives to `buffer_`. Returns false at the end or timeout.
  bool Fill();
  bool ReadBody(http_message& message);
  bool ReadChunkedBody(http_message& message);
  std::optional<std::string> ReadLine();
  bool ReadBytes(std::size_t count, std::string& to);

  int descriptor_;
  std::string buffer_;
  std::chrono::steady_clock::time_point deadline_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_HTTP_CONNECTION_H_
