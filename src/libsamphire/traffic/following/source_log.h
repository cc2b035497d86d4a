#ifndef TRAFFIC_FOLLOWING_SOURCE_LOG_H_
#define TRAFFIC_FOLLOWING_SOURCE_LOG_H_

#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "store/watch_batch.h"

namespace samphire {

// Logs the outcome of one query for changes under `prefix` that took `elapsed`,
// if it failed or returned large values. `source` is the peer address of the
// queried entry, or "platform". Does not block.
void LogSourceResult(const std::string& prefix,
                     const std::string& source,
                     milliseconds elapsed,
                     const result<watch_batch>& batch);

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_SOURCE_LOG_H_
