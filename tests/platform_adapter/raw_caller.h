#ifndef TESTS_PLATFORM_ADAPTER_RAW_CALLER_H_
#define TESTS_PLATFORM_ADAPTER_RAW_CALLER_H_

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace samphire::platform {

// A response as its caller reads it.
struct raw_response {
  int status = 0;
  // Status line and headers, with their line ends.
  std::string head;
  std::string body;
};

// A caller that sends bytes as they are, and reads strictly what comes back.
class raw_caller {
 public:
  explicit raw_caller(const std::string& address);

  void Send(const std::string& bytes);
  // Ends the sending side.
  void EndSending();
  // Waits until there are `count` responses in all, the connection ends or
  // `time` is over, and returns all responses so far.
  const std::vector<raw_response>& Await(
      std::size_t count,
      std::chrono::milliseconds time = std::chrono::seconds(5));

  // Whether the entry has ended the connection.
  bool ended() const { return ended_; }
  // Whether bytes came that are no response, or an incomplete one.
  bool has_rest() const { return !received_.empty(); }

 private:
  void TakeResponses();

  Poco::Net::StreamSocket socket_;
  std::string received_;
  std::vector<raw_response> responses_;
  bool ended_ = false;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_RAW_CALLER_H_
