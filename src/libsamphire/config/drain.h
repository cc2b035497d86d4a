#ifndef CONFIG_DRAIN_H_
#define CONFIG_DRAIN_H_

#include <string>

#include "base/clock_source.h"
#include "config/drain_scope.h"

namespace samphire {

// A planned stop: from `starts_at` no new work goes there, and what runs has
// until `deadline`.
struct drain {
  std::string name;
  drain_scope scope = drain_scope::kTarget;
  // The target ("SERVICE/TARGET"), failure domain or region.
  std::string subject;
  wall_time starts_at;
  wall_time deadline;

  bool operator==(const drain&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_DRAIN_H_
