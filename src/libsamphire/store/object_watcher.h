#ifndef STORE_OBJECT_WATCHER_H_
#define STORE_OBJECT_WATCHER_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "store/watch_batch.h"

namespace samphire {

// A source of changes to the platform's objects: the platform itself or a peer.
// Calls block; errors are kStoreUnreachable and kStoreCorrupt, and for the
// platform also kStoreRefused.
class object_watcher {
 public:
  virtual ~object_watcher() = default;

  // Waits up to `wait` for writes under `prefix` after `cursor`. An empty batch
  // means that there were none. Cursor 0 returns at once: the platform returns
  // its current cursor without events, a source that keeps copies of the
  // objects returns all of them.
  virtual result<watch_batch> Watch(const std::string& prefix,
                                    store_cursor cursor,
                                    milliseconds wait) = 0;

  // Returns a listing of everything under `prefix` that is at most some seconds
  // old, which costs the platform less than a watch from 0. A watch from the
  // listing's cursor returns the changes since then. The default is a watch
  // from 0, which is a listing only with a source that returns all objects for
  // it.
  virtual result<watch_batch> ListLagging(const std::string& prefix) {
    return Watch(prefix, 0, milliseconds{0});
  }
};

}  // namespace samphire

#endif  // STORE_OBJECT_WATCHER_H_
