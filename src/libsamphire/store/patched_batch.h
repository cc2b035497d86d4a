#ifndef STORE_PATCHED_BATCH_H_
#define STORE_PATCHED_BATCH_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "store/value_patch.h"
#include "store/watch_batch.h"

namespace samphire {

// The object was deleted.
struct object_deletion {};

// What happened to an object: its deletion, its complete new value, or the
// difference from an earlier version.
using object_change = std::variant<object_deletion, std::string, value_patch>;

struct patched_event {
  std::string key;
  // Version of the object after the change; 0 if it was deleted.
  std::uint64_t version = 0;
  object_change change;
  // The era of the store in which the change became known.
  std::uint64_t era = 0;
};

// The result of a watch, as entries send it to each other: like watch_batch,
// but with differences in place of large values. Several events may concern one
// object; they apply in order.
struct patched_batch {
  store_cursor cursor;
  bool reset = false;
  std::vector<patched_event> events;
};

// Whether the change needs no earlier version of the object.
bool IsComplete(const object_change& change);

// Whether the event's value is large enough to be sent as a patch.
bool IsLarge(const store_event& event);

// Returns `batch` with its large values compressed.
patched_batch ToPatchedBatch(const watch_batch& batch);

}  // namespace samphire

#endif  // STORE_PATCHED_BATCH_H_
