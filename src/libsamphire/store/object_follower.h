#ifndef STORE_OBJECT_FOLLOWER_H_
#define STORE_OBJECT_FOLLOWER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

#include "base/clock_source.h"
#include "base/error.h"
#include "base/stoppable_thread.h"
#include "store/object_mirror.h"
#include "store/object_watcher.h"

namespace samphire {

// Keeps a copy of all objects under one prefix up to date by consecutive
// watches, on a thread of its own that runs until destruction. Requires a
// watcher whose events contain values and which lists all objects when watched
// from cursor 0.
class object_follower {
 public:
  // Receives all objects, by key. Runs on the follower's thread, or on that of
  // Offer(), but never twice at once.
  using change_handler = std::function<void(const object_mirror::object_map&)>;

  // Is told the position of the objects each time that a source confirms it,
  // after the change_handler. Runs like that one.
  using confirm_handler = std::function<void(store_cursor)>;

  // `on_change` is called with the first complete listing and after each
  // change. `ranker` orders the versions of an object. `store` and `clock` must
  // outlive the follower.
  object_follower(object_watcher& store,
                  const clock_source& clock,
                  std::string prefix,
                  change_handler on_change,
                  object_ranker ranker = nullptr);

  // Sets the handler of confirmations. To be called before Start().
  void OnConfirmed(confirm_handler on_confirmed) {
    on_confirmed_ = std::move(on_confirmed);
  }
  // Starts the thread. To be called once.
  void Start();
  // Takes a listing that another entry got from the store a moment ago, unless
  // this follower knows a later position. May be called from any thread, and
  // calls the handlers there.
  void Offer(const watch_batch& listing);
  // Causes the current objects to be passed to the handler again within a few
  // seconds, because their meaning to the handler has changed. May be called
  // from any thread.
  void RequestRedelivery() { redelivery_requested_ = true; }
  // The position of the objects that are being passed to the handler. To be
  // called by the handler only.
  store_cursor position() const { return mirror_.position(); }
  // Who told of the last change of these objects, likewise.
  const std::string& source() const { return source_; }

 private:
  // Makes one watch and processes its result. Returns the delay before the next
  // one.
  milliseconds Step();
  // Returns the delay before a listing is requested again.
  milliseconds ListingDelay() const;
  // Applies a batch and calls the handlers. Expects lock_ to be held.
  void Apply(const watch_batch& batch);
  // Logs the start of an outage and removes expired objects. Returns the
  // backoff.
  milliseconds OnFailure(const error& failure);
  // Logs the end of an outage and resets the backoff.
  void OnSuccess();

  object_watcher& store_;
  const clock_source& clock_;
  const std::string prefix_;
  const change_handler on_change_;
  confirm_handler on_confirmed_;
  // Guards mirror_, source_ and delivered_once_, and is held while handlers
  // run.
  std::mutex lock_;
  object_mirror mirror_;
  std::string source_;
  // Whether the handler has been called.
  bool delivered_once_ = false;
  std::atomic<bool> redelivery_requested_ = false;
  // Whether the last watch failed.
  bool disconnected_ = false;
  // Time of the last successful watch.
  time_point last_contact_;
  milliseconds backoff_{0};
  // Declared last, so that it stops before the members it uses are destroyed.
  stoppable_thread thread_;
};

}  // namespace samphire

#endif  // STORE_OBJECT_FOLLOWER_H_
