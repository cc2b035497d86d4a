#ifndef TESTS_PLATFORM_ADAPTER_WIRE_TARGET_H_
#define TESTS_PLATFORM_ADAPTER_WIRE_TARGET_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace samphire::platform {

// How a target treats the requests that it receives.
enum class target_behavior {
  kServe,
  // Refuses the request and states that it did not run it.
  kShed,
  // Runs the request and closes the connection without a response.
  kCloseWithoutResponse,
  // Runs the request until the connection is closed, and sends no response.
  kHang,
  // Runs the request and responds with status 500.
  kRespondWithError,
  // Refuses the request as addressed to another target, like another process
  // that has taken over the address.
  kWrongInstance,
  // Like kCloseWithoutResponse on connections that carried a request before;
  // serves on new ones.
  kCloseKeptConnection,
  // The same, but resets the connection.
  kResetKeptConnection,
  // Closes a connection that rested for `forget_after_ms` when the next request
  // arrives on it, without having received that.
  kForgetRestedConnection,
};

// A target that serves the platform's HTTP protocol on a free local port, with
// a selectable behavior, and counts what it runs. Thread-safe.
class wire_target {
 public:
  explicit wire_target(std::string id);
  ~wire_target();

  const std::string& id() const { return id_; }
  // IP:PORT at which the target can be reached.
  std::string address() const;

  std::atomic<target_behavior> behavior = target_behavior::kServe;
  // Requests received, and those of them that were run.
  std::atomic<int> arrivals = 0;
  std::atomic<int> runs = 0;
  // Runs that ended because their connection was closed.
  std::atomic<int> cancelled = 0;
  // Ends the requests that hang; set by the destructor.
  std::atomic<bool> stopping = false;
  // Duration of a run, in milliseconds.
  std::atomic<int> work_ms = 0;

  // Time after which a connection is forgotten, in milliseconds.
  std::atomic<int> forget_after_ms = 0;

  // The rate that the target names as its limit in all responses, in requests
  // per second; negative for none.
  std::atomic<double> rate_limit = -1;
  // The time for which the target asks to be left alone when it sheds, in
  // seconds; 0 for none.
  std::atomic<int> pause_s = 0;
  // Whether the target says in all responses that it leaves.
  std::atomic<bool> leaving = false;

  // Requests for this path crash the target: it closes the connections of all
  // requests that it runs, without a response. Empty for none; set before the
  // first request.
  std::string crash_path;
  // Number of crashes so far.
  std::atomic<int> crashes = 0;

  // Number of runs of each request, by request ID.
  std::map<std::string, int> runs_by_id() const;
  void CountRun(const std::string& id);

  // Times at which requests arrived, by request ID.
  std::multimap<std::string, std::chrono::steady_clock::time_point>
  arrivals_by_id() const;
  void CountArrival(const std::string& id);

  // Returns how long the connection from this client address rested since its
  // last request; nothing for the first one.
  std::optional<std::chrono::milliseconds> RestOf(const std::string& client);

  // Headers of the most recently run request.
  std::map<std::string, std::string> last_headers() const;
  void SetLastHeaders(std::map<std::string, std::string> headers);

 private:
  const std::string id_;
  mutable std::mutex lock_;
  std::map<std::string, int> runs_by_id_;
  std::map<std::string, std::string> last_headers_;
  std::multimap<std::string, std::chrono::steady_clock::time_point>
      arrivals_by_id_;
  // Times of the last request, by client address.
  std::map<std::string, std::chrono::steady_clock::time_point> last_requests_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_WIRE_TARGET_H_
