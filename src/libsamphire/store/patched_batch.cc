#include "store/patched_batch.h"

namespace samphire {

bool IsComplete(const object_change& change) {
  const auto* patch = std::get_if<value_patch>(&change);
  return patch == nullptr || patch->base_version == 0;
}

bool IsLarge(const store_event& event) {
  return event.value && event.value->size() >= kMinPatchedBytes;
}

patched_batch ToPatchedBatch(const watch_batch& batch) {
  patched_batch patched{
      .cursor = batch.cursor, .reset = batch.reset, .events = {}};
  for (const auto& event : batch.events) {
    patched_event converted{event.key, event.version, object_deletion{},
                            batch.cursor.era};
    if (IsLarge(event))
      converted.change = MakePatch(0, "", *event.value);
    else if (event.value)
      converted.change = *event.value;
    patched.events.push_back(std::move(converted));
  }
  return patched;
}

}  // namespace samphire
