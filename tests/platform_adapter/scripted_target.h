#ifndef TESTS_PLATFORM_ADAPTER_SCRIPTED_TARGET_H_
#define TESTS_PLATFORM_ADAPTER_SCRIPTED_TARGET_H_

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <mutex>
#include <string>

#include "support/byte_server.h"

namespace samphire::platform {

// What a target does with the connection after its answer.
enum class connection_end { kClose, kReset, kKeep };

// The bytes that a target answers with; kRequestId in them stands for the id of
// the request.
struct scripted_answer {
  std::string bytes;
  connection_end end = connection_end::kClose;
};

// A target that answers requests whose path contains "faulty" with the bytes
// that a test sets, and all others properly. Bodies of requests are not read.
// Thread-safe.
class scripted_target {
 public:
  static inline const std::string kRequestId = "{id-}";

  explicit scripted_target(std::string id);

  const std::string& id() const { return id_; }
  // IP:PORT at which the target can be reached.
  std::string address() const { return server_.address(); }
  // The stamp of proper answers.
  std::string stamp() const { return "stamp." + id_; }

  void SetAnswer(scripted_answer answer);
  // Requests that were answered with the bytes of a test.
  int faulty_answers() const { return faulty_answers_; }

 private:
  // Answers the request whose head is `head`. Returns whether the connection
  // stays open.
  bool Answer(Poco::Net::StreamSocket& socket, const std::string& head);

  const std::string id_;
  std::atomic<int> faulty_answers_ = 0;
  std::mutex lock_;
  scripted_answer answer_;
  // Last, so that its threads end before what they use.
  byte_server server_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_SCRIPTED_TARGET_H_
