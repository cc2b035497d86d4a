#ifndef STORE_OBJECT_RELAY_H_
#define STORE_OBJECT_RELAY_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "base/result.h"
#include "store/watch_batch.h"

namespace samphire {

// Hands on to peers what this entry's own watches of the platform told, under
// the platform's own revisions, so that a peer can change between sources.
class object_relay {
 public:
  explicit object_relay(const clock_source& clock) : clock_(clock) {}

  // A watch has returned; `confirmed` if it was the platform's own.
  void Publish(const std::string& prefix,
               const watch_batch& batch,
               bool confirmed = true);

  // As a watch of the platform from `cursor`, but kStoreUnreachable once what
  // is known here is too old to be relied on. With `await_fresh` it waits for a
  // copy that isn't, and not for changes to one that is.
  result<watch_batch> Watch(const std::string& prefix,
                            std::uint64_t cursor,
                            milliseconds wait,
                            bool await_fresh = false);
  // All that is known here, however old; kStoreUnreachable if nothing is.
  result<watch_batch> LastKnown(const std::string& prefix);

 private:
  struct held_object {
    std::uint64_t version = 0;
    std::string value;
  };
  struct logged_event {
    std::uint64_t revision = 0;
    store_event event;
  };
  // Between two revisions of which the events are not known one by one.
  struct gap {
    std::uint64_t after = 0;
    std::uint64_t before = 0;
  };
  struct copy {
    std::map<std::string, held_object> objects;
    std::deque<logged_event> log;
    // Events up to this revision are no longer in the log.
    std::uint64_t floor = 0;
    std::deque<gap> gaps;
    std::uint64_t cursor = 0;
    time_point confirmed;
  };

  bool IsFresh(const copy& held) const;
  // Whether the log tells everything that happened after `cursor`.
  static bool TellsAll(const copy& held, std::uint64_t cursor);
  static watch_batch Snapshot(const copy& held);
  static watch_batch Since(const copy& held, std::uint64_t cursor);
  static void Take(copy& held, const watch_batch& batch);
  // What a new listing changes in what is held.
  static std::vector<store_event> Differences(const copy& held,
                                              const watch_batch& listing);

  const clock_source& clock_;
  std::mutex lock_;
  std::condition_variable changed_;
  std::map<std::string, copy> copies_;
};

}  // namespace samphire

#endif  // STORE_OBJECT_RELAY_H_
