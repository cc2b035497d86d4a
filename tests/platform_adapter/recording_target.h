#ifndef TESTS_PLATFORM_ADAPTER_RECORDING_TARGET_H_
#define TESTS_PLATFORM_ADAPTER_RECORDING_TARGET_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform_adapter/raw_request.h"

namespace samphire::platform {

// A target that reads its connections byte by byte with a strict reader, keeps
// what it reads and answers each request. Thread-safe.
class recording_target {
 public:
  explicit recording_target(std::string id);
  ~recording_target();

  const std::string& id() const { return id_; }
  // IP:PORT at which the target can be reached.
  std::string address() const { return address_; }
  // The stamp of its answers.
  std::string stamp() const { return "stamp." + id_; }

  // Returns the requests that it ran since the last call, but for those of
  // health probes.
  std::vector<raw_request> TakeRuns();
  // Returns since the last call what came and was no sound request.
  std::vector<std::string> TakeSpoilt();

 private:
  void AcceptAll(const std::stop_token& stop);
  void Serve(Poco::Net::StreamSocket socket, const std::stop_token& stop);
  // Answers the requests in `bytes` and removes them. Returns false once
  // something is malformed.
  bool AnswerAll(Poco::Net::StreamSocket& socket, std::string& bytes);

  const std::string id_;
  Poco::Net::ServerSocket listener_;
  const std::string address_;
  std::mutex lock_;
  std::vector<raw_request> runs_;
  std::vector<std::string> spoilt_;
  std::list<std::jthread> connections_;
  std::jthread acceptor_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_RECORDING_TARGET_H_
