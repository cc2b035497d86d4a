#ifndef BASE_PROCESS_SIGNALS_H_
#define BASE_PROCESS_SIGNALS_H_

#include <csignal>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "base/clock_source.h"

namespace samphire {

// What a process was asked to do.
enum class process_request { kNone, kReload, kStop };

// Receives SIGTERM and SIGINT, which ask the process to stop, and SIGHUP, which
// asks it to reload its settings, in a thread of its own, so that the time at
// which a stop was requested is known whatever other threads do. Must be
// created before any other thread.
class process_signals {
 public:
  // Begins the stop that was requested at `requested`, and returns when the
  // process must have ended.
  using stop_handler = std::function<time_point(time_point requested)>;

  process_signals();
  ~process_signals();
  process_signals(const process_signals&) = delete;
  process_signals& operator=(const process_signals&) = delete;

  // Sets what is called, once, as soon as a stop is requested: by the thread of
  // this object, or by the calling one if that has happened already. If the
  // process then still runs at the time that `on_stop` returned, it is ended
  // with status 0. Must be called by the thread that calls Await().
  void SetStopHandler(stop_handler on_stop);
  // Waits for a request, at most for `timeout`. After a stop was requested,
  // always returns kStop at once; requests to reload are then ignored.
  process_request Await(milliseconds timeout);

 private:
  void Run(const std::stop_token& stop);
  void OnSignal(int signal);
  // The caller must hold lock_.
  void BeginStop();
  void EndIfOverdue();

  const sigset_t signals_;
  std::mutex lock_;
  std::condition_variable changed_;
  stop_handler on_stop_;
  std::optional<time_point> stop_requested_;
  std::optional<time_point> end_by_;
  bool reload_requested_ = false;
  std::jthread thread_;
};

}  // namespace samphire

#endif  // BASE_PROCESS_SIGNALS_H_
