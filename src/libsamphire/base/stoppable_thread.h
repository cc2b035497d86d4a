#ifndef BASE_STOPPABLE_THREAD_H_
#define BASE_STOPPABLE_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/clock_source.h"

namespace samphire {

// A thread that repeatedly runs a step function and waits between two steps for
// the time that the step returned. Start() may be called once; Wake() may be
// called from any thread, Stop() from any thread but the one started here.
class stoppable_thread {
 public:
  // Runs one step and returns the time to wait before the next one.
  using step = std::function<duration()>;

  ~stoppable_thread() { Stop(); }

  // Starts the thread, which runs the first step immediately.
  void Start(step run);
  // Makes the next step run without waiting. A call during a step has the same
  // effect, so no wake-up is lost.
  void Wake();
  // Stops the thread and returns after any step in progress has finished. Does
  // nothing if the thread is not running.
  void Stop();

 private:
  void Loop(const step& run);

  std::mutex lock_;
  std::condition_variable wake_;
  bool woken_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace samphire

#endif  // BASE_STOPPABLE_THREAD_H_
