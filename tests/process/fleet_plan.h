#ifndef TESTS_PROCESS_FLEET_PLAN_H_
#define TESTS_PROCESS_FLEET_PLAN_H_

#include <string>
#include <vector>

#include "config/declaration.h"
#include "config/entry_settings.h"

namespace samphire {

// A small deployment with two regions: what a test starts and declares.
struct fleet_plan {
  std::string platform_address;
  // Where the first entries reach the platform, if not directly: a relay's
  // address for each.
  std::vector<std::string> entry_platform_addresses{};
  std::vector<entry_settings> entries;
  samphire::declaration declaration;
};

// Two regions, "east" and "west", with callers from 127.60.1.x and 127.60.2.x.
// Each has `entries_per_region` entries and two targets of a service "s" with
// the classes "level" (GET /levels/**), "claim" (POST /claims, not repeatable)
// and "archive" (GET /archives/**, bulk).
fleet_plan PlanFleet(int entries_per_region);

}  // namespace samphire

#endif  // TESTS_PROCESS_FLEET_PLAN_H_
