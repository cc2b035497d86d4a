#ifndef TESTS_PLATFORM_ADAPTER_RECORDING_TARGET_H_
#define TESTS_PLATFORM_ADAPTER_RECORDING_TARGET_H_

#include <Poco/Net/StreamSocket.h>

#include <mutex>
#include <string>
#include <vector>

#include "platform_adapter/raw_request.h"
#include "support/byte_server.h"

namespace samphire::platform {

// A target that reads its connections byte by byte with a strict reader, keeps
// what it reads and answers each request. Thread-safe.
class recording_target {
 public:
  explicit recording_target(std::string id);

  const std::string& id() const { return id_; }
  // IP:PORT at which the target can be reached.
  std::string address() const { return server_.address(); }
  // The stamp of its answers.
  std::string stamp() const { return "stamp." + id_; }

  // Returns the requests that it ran since the last call, but for those of
  // health probes.
  std::vector<raw_request> TakeRuns();
  // Returns since the last call what came and was no sound request.
  std::vector<std::string> TakeSpoilt();

 private:
  // Answers the requests in `bytes` and removes them. Returns false once
  // something is malformed.
  bool AnswerAll(Poco::Net::StreamSocket& socket, std::string& bytes);

  const std::string id_;
  std::mutex lock_;
  std::vector<raw_request> runs_;
  std::vector<std::string> spoilt_;
  // Last, so that its threads end before what they use.
  byte_server server_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_RECORDING_TARGET_H_
