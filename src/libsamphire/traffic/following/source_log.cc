#include "traffic/following/source_log.h"

#include <cstddef>

#include "base/log.h"

namespace samphire {

namespace {

// Minimum size of the values of a batch that is logged. A batch of this size
// occupies a link of 10 Mbit/s for longer than a call normally takes.
constexpr std::size_t kMinLoggedBytes = std::size_t{16} << 10U;

std::size_t ValueBytes(const watch_batch& batch) {
  std::size_t bytes = 0;
  for (const auto& event : batch.events)
    bytes += event.value ? event.value->size() : 0;
  return bytes;
}

}  // namespace

void LogSourceResult(const std::string& prefix,
                     const std::string& source,
                     milliseconds elapsed,
                     const result<watch_batch>& batch) {
  if (!batch) {
    Log(log_level::kInfo, "source-failed",
        {{"prefix", prefix},
         {"source", source},
         {"code", static_cast<int>(batch.error().code)},
         {"reason", NameOf(batch.error().code)},
         {"ms", elapsed.count()}});
    return;
  }
  const auto bytes = ValueBytes(batch.value());
  if (bytes < kMinLoggedBytes)
    return;
  Log(log_level::kInfo, "objects-received",
      {{"prefix", prefix},
       {"source", source},
       {"revision", batch.value().cursor.revision},
       {"era", batch.value().cursor.era},
       {"objects", batch.value().events.size()},
       {"value_bytes", bytes},
       {"ms", elapsed.count()}});
}

}  // namespace samphire
