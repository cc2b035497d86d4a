#ifndef CONFIG_DRAIN_H_
#define CONFIG_DRAIN_H_

#include <string>

#include "base/clock_source.h"
#include "config/drain_scope.h"

namespace samphire {

// A planned shutdown of a target, failure domain or region: from `starts_at` no
// new work is placed there, and running work may continue until `deadline`.
struct drain {
  std::string name;
  drain_scope scope = drain_scope::kTarget;
  // The name of the drained target ("SERVICE/TARGET"), failure domain or
  // region, depending on `scope`.
  std::string subject;
  wall_time starts_at;
  wall_time deadline;

  bool operator==(const drain&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_DRAIN_H_
