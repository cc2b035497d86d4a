#include "fleet_plan.h"

#include <fmt/format.h>

#include "config/client_block_text.h"
#include "support/free_address.h"

namespace samphire {

namespace {

// Slots per target.
constexpr std::uint32_t kSlots = 4;
// Slot partitions per region.
constexpr std::uint32_t kPartitions = 4;
// Requests in flight that may be shifted from one region to the other.
constexpr std::uint32_t kCap = 6;

request_class Class(const std::string& name,
                    const std::string& method,
                    const std::string& path) {
  return {.name = name,
          .method = method,
          .path = path,
          .deadline = milliseconds(2000),
          .max_deadline = milliseconds(6000),
          .queue_limit = 64};
}

service PlanService() {
  service planned{.name = "s", .classes = {}, .targets = {}};
  planned.classes = {Class("level", "GET", "/levels/**"),
                     Class("claim", "POST", "/claims"),
                     Class("archive", "GET", "/archives/**")};
  planned.classes[1].repeatable = false;
  planned.classes[2].kind = request_kind::kBulk;
  for (int region = 1; region <= 2; ++region) {
    for (int number = 1; number <= 2; ++number) {
      planned.targets.push_back(
          {.name = fmt::format("t{}{}", region, number),
           .address = FreeAddress(fmt::format("127.61.{}.{}", region, number)),
           .failure_domain =
               fmt::format("{}-{}", region == 1 ? "east" : "west", number),
           .slots = kSlots,
           .connections = 100});
    }
  }
  return planned;
}

declaration PlanDeclaration() {
  declaration planned;
  planned.name = "test";
  planned.regions = {{.name = "east",
                      .failure_domains = {"east-1", "east-2"},
                      .partition_count = kPartitions},
                     {.name = "west",
                      .failure_domains = {"west-1", "west-2"},
                      .partition_count = kPartitions}};
  planned.latencies = {
      {.from = "east", .to = "west", .one_way = microseconds(1000)}};
  for (int region = 1; region <= 2; ++region) {
    auto block = ParseClientBlock(fmt::format("127.60.{}.0/24", region));
    block.value().region = region == 1 ? "east" : "west";
    planned.client_blocks.push_back(block.value());
  }
  planned.default_region = "east";
  planned.services = {PlanService()};
  planned.shift_caps = {
      {.from = "east", .to = "west", .max_in_flight = kCap, .initial = kCap},
      {.from = "west", .to = "east", .max_in_flight = kCap, .initial = kCap}};
  planned.limits.lookup_ttl = milliseconds(200);
  return planned;
}

entry_settings PlanEntry(int region, int number) {
  const auto ip = fmt::format("127.62.{}.{}", region, number);
  entry_settings planned;
  planned.instance = fmt::format("e{}{}", region, number);
  planned.region = region == 1 ? "east" : "west";
  planned.failure_domain = fmt::format("{}-{}", planned.region, number % 2 + 1);
  planned.caller_address = FreeAddress(ip);
  planned.operator_address = FreeAddress(ip);
  planned.peer_address = FreeAddress(ip);
  return planned;
}

}  // namespace

fleet_plan PlanFleet(int entries_per_region) {
  fleet_plan plan{.platform_address = FreeAddress("127.62.0.1"),
                  .entries = {},
                  .declaration = PlanDeclaration()};
  for (int region = 1; region <= 2; ++region) {
    for (int number = 1; number <= entries_per_region; ++number)
      plan.entries.push_back(PlanEntry(region, number));
  }
  return plan;
}

}  // namespace samphire
