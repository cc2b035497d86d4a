#ifndef TESTS_PROCESS_FLEET_PLAN_H_
#define TESTS_PROCESS_FLEET_PLAN_H_

#include <string>
#include <vector>

#include "config/declaration.h"
#include "config/entry_settings.h"

namespace samphire {

// Plan of a small deployment: the processes to start and their declaration.
struct fleet_plan {
  // IP:PORT at which the platform listens.
  std::string platform_address;
  // IP:PORT at which the entry with the same index reaches the platform, such
  // as that of a relay. Entries beyond the end connect to it directly.
  std::vector<std::string> entry_platform_addresses{};
  std::vector<entry_settings> entries;
  samphire::declaration declaration;
};

// Returns a plan with two regions, "east" and "west", with callers from
// 127.60.1.x and 127.60.2.x. Each has `entries_per_region` entries and two
// targets of a service "s" with the request classes "level" (GET /levels/**),
// "claim" (POST /claims, not repeatable) and "archive" (GET /archives/**,
// bulk). Entries and platform are at 127.62.x.x, targets at 127.61.x.x, on free
// ports.
fleet_plan PlanFleet(int entries_per_region);

}  // namespace samphire

#endif  // TESTS_PROCESS_FLEET_PLAN_H_
