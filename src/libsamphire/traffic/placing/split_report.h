#ifndef TRAFFIC_PLACING_SPLIT_REPORT_H_
#define TRAFFIC_PLACING_SPLIT_REPORT_H_

#include <cstdint>
#include <string>

#include "metrics/metrics.h"
#include "routing/weighted_split.h"
#include "traffic/placing/service_shards.h"

namespace samphire {

// Tell, for each route that is divided among services, which share of its
// requests each of them got at this entry since the present weights came.

// Logs what the parts of `split` got before the parts or weights of version
// `version` of the configuration replaced theirs. Nothing if none got any.
void LogReplacedSplit(const std::string& route,
                      std::uint64_t version,
                      const weighted_split& split);

// Sets the requests and the weight of each part of each split route.
void SetSplitMetrics(service_shards& shards, metrics& registry);

}  // namespace samphire

#endif  // TRAFFIC_PLACING_SPLIT_REPORT_H_
