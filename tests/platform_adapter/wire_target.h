#ifndef TESTS_PLATFORM_ADAPTER_WIRE_TARGET_H_
#define TESTS_PLATFORM_ADAPTER_WIRE_TARGET_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace samphire::platform {

// How a target of the platform answers what it is asked to run.
enum class target_mood {
  kServe,
  // Says that it did not run the request.
  kShed,
  // Runs it and closes without an answer.
  kCut,
  // Runs it for as long as the caller waits.
  kHang,
  // Runs it and answers with a failure.
  kFail,
  // Answers as another process at the address.
  kMisdirect,
};

// A target that speaks the platform's protocol.
class wire_target {
 public:
  explicit wire_target(std::string id);
  ~wire_target();

  const std::string& id() const { return id_; }
  std::string address() const;

  std::atomic<target_mood> mood = target_mood::kServe;
  std::atomic<int> arrivals = 0;
  std::atomic<int> runs = 0;
  // Runs that ended because the connection did.
  std::atomic<int> cancelled = 0;
  std::atomic<bool> stopping = false;
  // How long a request is worked on.
  std::atomic<int> work_ms = 0;

  // How often each request was run, by its id.
  std::map<std::string, int> runs_by_id() const;
  void CountRun(const std::string& id);

  // Headers of the most recently run request.
  std::map<std::string, std::string> last_headers() const;
  void SetLastHeaders(std::map<std::string, std::string> headers);

 private:
  const std::string id_;
  mutable std::mutex lock_;
  std::map<std::string, int> runs_by_id_;
  std::map<std::string, std::string> last_headers_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_WIRE_TARGET_H_
