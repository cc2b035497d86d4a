#ifndef TESTS_PLATFORM_ADAPTER_KEPT_CALLERS_H_
#define TESTS_PLATFORM_ADAPTER_KEPT_CALLERS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/enum_names.h"

namespace samphire::platform {

// How a request of a kept caller ended.
enum class call_end {
  // A complete response arrived.
  kAnswered,
  // The request was sent and the connection ended without a byte.
  kClosedUnanswered,
  // The connection ended within the response.
  kBrokenOff,
  // No response arrived in time.
  kTimedOut,
};

inline constexpr enum_names<call_end, 4> kCallEndNames{{
    {call_end::kAnswered, "answered"},
    {call_end::kClosedUnanswered, "closed-unanswered"},
    {call_end::kBrokenOff, "broken-off"},
    {call_end::kTimedOut, "timed-out"},
}};

// A request whose bytes were handed to an open connection.
struct kept_call {
  std::string id;
  std::string entry;
  bool repeatable = false;
  // When its connection was opened.
  std::chrono::steady_clock::time_point connected;
  std::chrono::steady_clock::time_point sent;
  std::chrono::steady_clock::time_point ended;
  call_end end = call_end::kAnswered;
  // 0 without the head of a response.
  int status = 0;
};

// What the callers send.
struct caller_plan {
  int callers = 10;
  // The longest pause between two requests of a caller.
  std::chrono::milliseconds max_pause{50};
  // The time that the requests name as left to them.
  std::chrono::milliseconds deadline{8000};
  std::uint64_t seed = 1;
};

// Callers that each keep a connection to an entry for as long as the entry
// does, and open another one when it ends. Every other caller sends requests
// that may not be repeated.
class kept_callers {
 public:
  // `entry_of` returns the address of the entry that the caller of a number
  // uses.
  kept_callers(const caller_plan& plan,
               std::function<std::string(int caller)> entry_of);
  ~kept_callers();

  // Ends the callers once their requests have ended, and returns all of these.
  std::vector<kept_call> Finish();

 private:
  void Run(int caller);

  const caller_plan plan_;
  const std::function<std::string(int)> entry_of_;
  std::atomic<bool> finishing_ = false;
  std::mutex lock_;
  std::vector<kept_call> calls_;
  std::vector<std::jthread> threads_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_KEPT_CALLERS_H_
