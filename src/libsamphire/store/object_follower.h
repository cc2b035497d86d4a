#ifndef STORE_OBJECT_FOLLOWER_H_
#define STORE_OBJECT_FOLLOWER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "base/clock_source.h"
#include "store/object_mirror.h"
#include "store/object_store.h"

namespace samphire {

// Follows all objects under one prefix, with a thread of its own, for as long
// as it lives. Needs a store whose watches tell values, and list everything
// when asked from cursor 0.
class object_follower {
 public:
  using change_sink = std::function<void(const object_mirror::object_map&)>;

  object_follower(object_store& store,
                  const clock_source& clock,
                  std::string prefix,
                  change_sink on_change);

  void Start();

 private:
  void Run(const std::stop_token& stop);
  // One call to the store and what follows from it; how long to pause then.
  milliseconds Step();
  milliseconds OnFailure(const error& why);
  void OnContact();

  object_store& store_;
  const clock_source& clock_;
  const std::string prefix_;
  const change_sink on_change_;
  object_mirror mirror_;
  std::uint64_t cursor_ = 0;
  bool told_once_ = false;
  bool lost_ = false;
  time_point last_contact_;
  milliseconds pause_{0};
  std::mutex lock_;
  std::condition_variable_any wake_;
  // Last, so that it stops before what it uses is gone.
  std::jthread thread_;
};

}  // namespace samphire

#endif  // STORE_OBJECT_FOLLOWER_H_
