#ifndef REVIEW_STAND_INS_2_HTTP_LINK_H_
#define REVIEW_STAND_INS_2_HTTP_LINK_H_

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using header_list = std::vector<std::pair<std::string, std::string>>;

// Returns the value of a header; empty if there is none.
std::string HeaderOf(const header_list& headers, const std::string& name);

// A request or a response as it was read from a connection.
struct http_message {
  std::string start_line;
  header_list headers;
  std::string body;
  // Whether each line of the head follows the grammar of HTTP/1.1.
  bool well_formed = true;
};

// One TCP connection on a loopback address. Blocks; not thread-safe.
class http_link {
 public:
  explicit http_link(int descriptor);
  ~http_link();
  http_link(http_link&& other) noexcept;
  http_link& operator=(http_link&& other) noexcept;
  http_link(const http_link&) = delete;
  http_link& operator=(const http_link&) = delete;

  // Connects to IP:PORT.
  static std::optional<http_link> Open(const std::string& address);

  // Returns false if the other side is gone.
  bool Send(const std::string& bytes) const;
  // Reads one message. A response without a length ends with its connection.
  // Returns nothing if the connection ends first, or after `timeout_ms` without
  // a byte.
  std::optional<http_message> Read(int timeout_ms);
  // Bytes that were read beyond the last message.
  const std::string& rest() const { return buffer_; }
  void SetTimeout(int timeout_ms) const;
  // Ends the sending side.
  void EndSending() const;

 private:
  bool Fill();
  std::optional<std::string> TakeHead();
  std::optional<std::string> TakeBytes(std::size_t count);
  std::optional<std::string> TakeLine();
  std::optional<std::string> TakeChunks();
  std::optional<std::string> TakeAll();

  int descriptor_;
  std::string buffer_;
  // Whether the other side has closed the connection in order.
  bool ended_ = false;
};

// Accepts connections on a free port and serves each in a thread. The
// destructor ends all connections and waits for the threads.
class http_listener {
 public:
  explicit http_listener(std::function<void(http_link)> serve);
  ~http_listener();
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;

  const std::string& address() const { return address_; }

 private:
  void Run();
  void ServeOne(int descriptor);

  std::function<void(http_link)> serve_;
  int descriptor_ = -1;
  std::string address_;
  std::mutex lock_;
  // Further descriptors of the connections that are served.
  std::set<int> open_;
  std::vector<std::thread> serving_;
  std::thread thread_;
};

// Returns an address of 127.0.0.1 whose port is free for TCP and UDP.
std::string FreeAddress();

}  // namespace review

#endif  // REVIEW_STAND_INS_2_HTTP_LINK_H_
