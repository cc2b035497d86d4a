#ifndef TESTS_TRAFFIC_REGION_STORE_H_
#define TESTS_TRAFFIC_REGION_STORE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "store/object_watcher.h"
#include "store/store_object.h"

namespace samphire {

// The platform's store in memory, as the entries of one region share it.
// Thread-safe.
class region_store {
 public:
  // Creates or replaces an object.
  void Write(const std::string& key, const std::string& value);
  // Drops the log of changes: a watch from before gets a listing.
  void DropHistory();
  // Serves a watch with complete values; lists everything for cursor 0.
  watch_batch Watch(const std::string& prefix,
                    store_cursor cursor,
                    milliseconds wait);
  // While the store is silent, calls get no answer: those under way and those
  // that begin.
  void SetSilent(bool silent) { silent_ = silent; }
  bool IsSilent() const { return silent_; }

 private:
  // Expects lock_ to be held.
  watch_batch List(const std::string& prefix) const;

  std::mutex lock_;
  std::condition_variable changed_;
  std::map<std::string, store_object> objects_;
  std::vector<store_event> log_;
  std::uint64_t revision_ = 1;
  // The last change that the log does not have any more.
  std::uint64_t dropped_revision_ = 0;
  std::atomic<bool> silent_ = false;
};

}  // namespace samphire

#endif  // TESTS_TRAFFIC_REGION_STORE_H_
