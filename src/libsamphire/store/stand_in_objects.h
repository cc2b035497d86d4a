#ifndef STORE_STAND_IN_OBJECTS_H_
#define STORE_STAND_IN_OBJECTS_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "store/object_store.h"
#include "store/stand_in_instances.h"

namespace samphire {

// The stand-in platform's objects, watches and instance list, in memory.
// Thread-safe. Never fails by itself; faults are injected by stand_in_server.
class stand_in_objects final : public object_store {
 public:
  // Maximum size of a value in bytes; larger ones are refused with
  // kStoreValueTooLarge.
  static constexpr std::size_t kMaxValueBytes = 1 << 20;

  // A watch whose cursor is older than the last `max_logged_events` events
  // returns a batch with `reset` set.
  explicit stand_in_objects(const clock_source& clock,
                            std::size_t max_logged_events = 10'000);

  result<store_object> Get(const std::string& key) override;
  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected) override;
  result<void> Delete(const std::string& key, std::uint64_t expected) override;
  result<std::vector<store_object>> List(const std::string& prefix) override;
  result<watch_batch> Watch(const std::string& prefix,
                            store_cursor cursor,
                            milliseconds wait) override;
  result<std::vector<instance_info>> Instances() override;

  // The objects at one moment.
  struct copy {
    std::map<std::string, store_object> objects;
    std::uint64_t revision = 1;
  };
  copy MakeCopy();
  // Goes back to the copy, as a store that was restored from a backup: what was
  // written since is lost, its revisions are given out again, and the era rises
  // by one. Ends all watches with `reset`.
  void Restore(const copy& from);
  // Drops all logged events: watches from before return a batch with `reset`.
  void DropHistory();
  // Number of restores, plus one.
  std::uint64_t era();

  // Change the instance list; visible after the lag.
  void SetInstance(const instance_info& instance);
  void RemoveInstance(const std::string& name);
  void SetInstanceLag(milliseconds lag);

  // While set, watches return at once without waiting, as in an outage.
  void SetWatchesInterrupted(bool interrupted);

 private:
  struct logged_event {
    std::uint64_t cursor = 0;
    store_event event;
  };

  // Assigns the next revision to a write and logs it. Expects lock_ to be held.
  void Record(const std::string& key, std::uint64_t version);
  // Fills `batch` with the events after its cursor. Returns whether the watch
  // may return. Expects lock_ to be held.
  bool CollectEvents(const std::string& prefix, watch_batch& batch) const;

  const clock_source& clock_;
  const std::size_t max_logged_events_;
  std::mutex lock_;
  std::condition_variable changed_;
  std::map<std::string, store_object> objects_;
  std::deque<logged_event> log_;
  stand_in_instances instances_;
  // Revision of the last write. Starts at 1, since cursor 0 requests the
  // current cursor.
  std::uint64_t revision_ = 1;
  // The cursor up to which events were removed from `log_`.
  std::uint64_t trimmed_cursor_ = 1;
  std::uint64_t era_ = 1;
  bool watches_interrupted_ = false;
};

}  // namespace samphire

#endif  // STORE_STAND_IN_OBJECTS_H_
