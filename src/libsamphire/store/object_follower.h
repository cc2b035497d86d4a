#ifndef STORE_OBJECT_FOLLOWER_H_
#define STORE_OBJECT_FOLLOWER_H_

#include <atomic>
#include <functional>
#include <string>

#include "base/clock_source.h"
#include "base/error.h"
#include "base/stoppable_thread.h"
#include "store/object_mirror.h"
#include "store/object_watcher.h"

namespace samphire {

// Follows all objects under one prefix, with a thread of its own, for as long
// as it lives. Needs a watcher that tells values, and lists everything when
// asked from cursor 0.
class object_follower {
 public:
  using change_sink = std::function<void(const object_mirror::object_map&)>;

  object_follower(object_watcher& store,
                  const clock_source& clock,
                  std::string prefix,
                  change_sink on_change);

  void Start();
  // Has the present objects told again within a few seconds: what they mean
  // to the sink has changed.
  void TellAgain() { tell_again_ = true; }

 private:
  // One call to the store and what follows from it; how long to pause then.
  milliseconds Step();
  milliseconds OnFailure(const error& why);
  void OnContact();

  object_watcher& store_;
  const clock_source& clock_;
  const std::string prefix_;
  const change_sink on_change_;
  object_mirror mirror_;
  bool told_once_ = false;
  std::atomic<bool> tell_again_ = false;
  bool lost_ = false;
  time_point last_contact_;
  milliseconds pause_{0};
  // Last, so that it stops before what it uses is gone.
  stoppable_thread thread_;
};

}  // namespace samphire

#endif  // STORE_OBJECT_FOLLOWER_H_
