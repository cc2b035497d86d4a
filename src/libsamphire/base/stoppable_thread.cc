#include "base/stoppable_thread.h"

#include <utility>

namespace samphire {

void stoppable_thread::Start(step run) {
  thread_ = std::thread([this, run = std::move(run)] { Loop(run); });
}

void stoppable_thread::Wake() {
  std::lock_guard guard(lock_);
  woken_ = true;
  wake_.notify_all();
}

void stoppable_thread::Stop() {
  {
    std::lock_guard guard(lock_);
    stopping_ = true;
    wake_.notify_all();
  }
  if (thread_.joinable())
    thread_.join();
}

void stoppable_thread::Loop(const step& run) {
  for (;;) {
    {
      std::lock_guard guard(lock_);
      if (stopping_)
        return;
      woken_ = false;
    }
    const auto pause = run();
    std::unique_lock guard(lock_);
    wake_.wait_for(guard, pause, [&] { return woken_ || stopping_; });
  }
}

}  // namespace samphire
