#include "distribution/chunk_store.h"

#include <utility>

#include "distribution/line_tree.h"

namespace samphire {

chunk_store::chunk_store(object_store& store,
                         const publish_options& options,
                         metrics& metrics)
    : store_(store), options_(options), metrics_(metrics) {}

result<std::vector<std::string>> chunk_store::Fetch(
    const std::vector<std::string>& refs) {
  std::vector<std::string> texts;
  for (const auto& ref : refs) {
    BOOST_OUTCOME_TRY(object, store_.Get(ChunkKey(ref)));
    texts.push_back(std::move(object.value));
  }
  return texts;
}

// A chunk's key belongs to one attempt and its content never differs, so a
// write of unknown outcome is simply repeated: a conflict then means that the
// earlier write had taken effect.
result<void> chunk_store::Write(const config_chunk& chunk) {
  for (int n = 0;; ++n) {
    const auto put = store_.Put(ChunkKey(chunk.ref), chunk.text, 0);
    if (put || put.error().code == result_code::kStoreConflict)
      return Success();
    const bool again = put.error().code == result_code::kStoreUnreachable ||
                       put.error().code == result_code::kStoreOutcomeUnknown;
    if (!again || n + 1 >= options_.attempts)
      return put.error();
    metrics_.CountRetry(put.error().code);
    options_.pause(n);
  }
}

result<void> chunk_store::Remove(const std::vector<std::string>& refs) {
  for (const auto& ref : refs) {
    BOOST_OUTCOME_TRYV(RemoveOne(ref));
  }
  return Success();
}

result<void> chunk_store::RemoveOne(const std::string& ref) {
  const auto key = ChunkKey(ref);
  const auto found = store_.Get(key);
  const auto removed = found ? store_.Delete(key, found.value().version)
                             : result<void>(found.error());
  if (!removed && removed.error().code != result_code::kStoreNotFound)
    return removed.error();
  if (removed)
    metrics_.Count("config_chunks_collected_total");
  return Success();
}

std::vector<std::string> ReadRefs(const std::string& text) {
  std::vector<std::string> refs;
  ForEachLine(text, [&](std::string_view line) { refs.emplace_back(line); });
  return refs;
}

}  // namespace samphire
