#include "base/process_signals.h"

#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <thread>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Restores the signals of this thread, which the class under test blocks.
class signal_mask_guard {
 public:
  signal_mask_guard() { pthread_sigmask(SIG_SETMASK, nullptr, &before_); }
  ~signal_mask_guard() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  signal_mask_guard(const signal_mask_guard&) = delete;
  signal_mask_guard& operator=(const signal_mask_guard&) = delete;

 private:
  sigset_t before_{};
};

time_point FarAway() {
  return std::chrono::steady_clock::now() + 1h;
}

}  // namespace

// Guards against a stop that begins only when the main loop comes to it, while
// the time until the kill runs from the signal.
TEST_CASE("a stop begins with its signal while the main loop is busy") {
  const signal_mask_guard mask;
  process_signals signals;
  std::atomic<int> stops = 0;
  std::atomic<time_point> requested{time_point{}};
  signals.SetStopHandler([&](time_point at) {
    requested = at;
    ++stops;
    return FarAway();
  });
  const auto sent = std::chrono::steady_clock::now();
  kill(getpid(), SIGTERM);
  // This thread is the main loop, which is busy.
  const auto busy_until = sent + 10s;
  while (stops == 0 && std::chrono::steady_clock::now() < busy_until)
    std::this_thread::sleep_for(1ms);
  REQUIRE(stops == 1);
  CHECK(requested.load() >= sent);
  CHECK(signals.Await(1h) == process_request::kStop);
  // What comes during a stop changes nothing.
  const auto first = requested.load();
  for (const int signal : {SIGHUP, SIGTERM, SIGINT})
    kill(getpid(), signal);
  std::this_thread::sleep_for(100ms);
  CHECK(stops == 1);
  CHECK(requested.load() == first);
  CHECK(signals.Await(1h) == process_request::kStop);
}

// Guards against a stop that is lost, or counted from later, since it was
// requested while the process started.
TEST_CASE("a stop that is requested during the start is not forgotten") {
  const signal_mask_guard mask;
  process_signals signals;
  const auto sent = std::chrono::steady_clock::now();
  kill(getpid(), SIGTERM);
  CHECK(signals.Await(10s) == process_request::kStop);
  std::this_thread::sleep_for(50ms);
  time_point requested;
  signals.SetStopHandler([&](time_point at) {
    requested = at;
    return FarAway();
  });
  CHECK(requested >= sent);
  CHECK(requested < std::chrono::steady_clock::now() - 50ms);
}

// Guards against a program that lingers where it only checks its settings, or
// refuses them.
TEST_CASE("ending the wait for signals takes no time and leaves none behind") {
  const signal_mask_guard mask;
  time_point began;
  {
    const process_signals signals;
    // By then the thread waits.
    std::this_thread::sleep_for(100ms);
    began = std::chrono::steady_clock::now();
  }
  CHECK(std::chrono::steady_clock::now() - began < 500ms);
  sigset_t pending;
  sigpending(&pending);
  CHECK(sigismember(&pending, SIGHUP) == 0);
}

TEST_CASE("a request to reload is reported once") {
  const signal_mask_guard mask;
  process_signals signals;
  CHECK(signals.Await(0ms) == process_request::kNone);
  kill(getpid(), SIGHUP);
  CHECK(signals.Await(10s) == process_request::kReload);
  CHECK(signals.Await(0ms) == process_request::kNone);
}
