#ifndef CONFIG_REGION_LATENCY_H_
#define CONFIG_REGION_LATENCY_H_

#include <string>

#include "base/clock_source.h"

namespace samphire {

// The one-way network latency between two regions, which applies in both
// directions.
struct region_latency {
  std::string from;
  std::string to;
  microseconds one_way{0};

  bool operator==(const region_latency&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_REGION_LATENCY_H_
