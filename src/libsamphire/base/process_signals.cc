#include "base/process_signals.h"

#include <pthread.h>

#include <chrono>
#include <cstdlib>
#include <utility>

#include "base/log.h"
#include "base/signal_block.h"

namespace samphire {

namespace {

// Bounds one wait for a signal: without a stop, and while one is on its way.
constexpr milliseconds kWait{1000};
constexpr milliseconds kStoppingWait{20};

timespec ToTimespec(milliseconds time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  return {.tv_sec = seconds.count(),
          .tv_nsec = std::chrono::nanoseconds(time - seconds).count()};
}

}  // namespace

process_signals::process_signals()
    : signals_(BlockSignals({SIGTERM, SIGINT, SIGHUP})),
      thread_([this](const std::stop_token& stop) { Run(stop); }) {}

// A signal wakes the thread, which otherwise waits on for up to a second.
process_signals::~process_signals() {
  thread_.request_stop();
  pthread_kill(thread_.native_handle(), SIGHUP);
}

void process_signals::SetStopHandler(stop_handler on_stop) {
  std::lock_guard guard(lock_);
  on_stop_ = std::move(on_stop);
  if (stop_requested_)
    BeginStop();
}

process_request process_signals::Await(milliseconds timeout) {
  std::unique_lock guard(lock_);
  changed_.wait_for(guard, timeout,
                    [this] { return stop_requested_ || reload_requested_; });
  if (stop_requested_)
    return process_request::kStop;
  return std::exchange(reload_requested_, false) ? process_request::kReload
                                                 : process_request::kNone;
}

void process_signals::Run(const std::stop_token& stop) {
  auto wait = kWait;
  while (!stop.stop_requested()) {
    const auto timeout = ToTimespec(wait);
    const int received = sigtimedwait(&signals_, nullptr, &timeout);
    if (received > 0 && !stop.stop_requested())
      OnSignal(received);
    std::lock_guard guard(lock_);
    if (stop_requested_)
      wait = kStoppingWait;
    EndIfOverdue();
  }
}

void process_signals::OnSignal(int signal) {
  const auto now = std::chrono::steady_clock::now();
  std::lock_guard guard(lock_);
  Log(log_level::kWarning, "signal-received",
      {{"signal", signal}, {"stopping", stop_requested_.has_value()}});
  if (stop_requested_)
    return;
  if (signal == SIGHUP) {
    reload_requested_ = true;
  } else {
    stop_requested_ = now;
    if (on_stop_)
      BeginStop();
  }
  changed_.notify_all();
}

void process_signals::BeginStop() {
  end_by_ = on_stop_(*stop_requested_);
}

// A step of the stop may block on something that nobody foresaw. The process
// would then be killed in the middle of its answers.
void process_signals::EndIfOverdue() {
  if (!end_by_ || std::chrono::steady_clock::now() < *end_by_)
    return;
  Log(log_level::kWarning, "stop-overdue");
  std::_Exit(0);
}

}  // namespace samphire
