#ifndef BASE_CANCEL_SIGNAL_H_
#define BASE_CANCEL_SIGNAL_H_

#include <Poco/Pipe.h>

#include <atomic>

namespace samphire {

// An event that happens once, for threads that wait for it and for sockets in
// one poll(). Thread-safe.
class cancel_signal {
 public:
  // Wakes all that wait, now and later. Further calls do nothing.
  void Cancel();
  bool is_cancelled() const { return cancelled_; }
  // Returns a file descriptor that reports a hang-up to poll() once the event
  // has happened, and nothing before.
  int descriptor() const { return pipe_.readHandle(); }

 private:
  // Carries no data; its write end is closed by the event.
  Poco::Pipe pipe_;
  std::atomic<bool> cancelled_ = false;
};

}  // namespace samphire

#endif  // BASE_CANCEL_SIGNAL_H_
