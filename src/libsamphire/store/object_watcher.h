#ifndef STORE_OBJECT_WATCHER_H_
#define STORE_OBJECT_WATCHER_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "store/watch_batch.h"

namespace samphire {

// What tells of changes to the platform's objects. Calls block; an error is
// kStoreUnreachable or kStoreCorrupt.
class object_watcher {
 public:
  virtual ~object_watcher() = default;

  // Waits up to `wait` for writes under `prefix` after `cursor`; an empty
  // batch means that there were none. Cursor 0 returns the present cursor.
  virtual result<watch_batch> Watch(const std::string& prefix,
                                    std::uint64_t cursor,
                                    milliseconds wait) = 0;

  // Everything under `prefix` as it was some seconds ago at most, which costs
  // the platform less than a watch from 0. A watch from its cursor tells what
  // changed since.
  virtual result<watch_batch> ListLagging(const std::string& prefix) {
    return Watch(prefix, 0, milliseconds{0});
  }
};

}  // namespace samphire

#endif  // STORE_OBJECT_WATCHER_H_
