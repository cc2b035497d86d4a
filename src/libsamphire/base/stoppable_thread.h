#ifndef BASE_STOPPABLE_THREAD_H_
#define BASE_STOPPABLE_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/clock_source.h"

namespace samphire {

// A thread that runs one step again and again, waits between the steps as long
// as each says, and can be woken or stopped.
class stoppable_thread {
 public:
  // Does one step and returns how long to wait before the next.
  using step = std::function<duration()>;

  ~stoppable_thread() { Stop(); }

  void Start(step run);
  // Has the next step run at once.
  void Wake();
  // Returns when the step that runs has ended.
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
