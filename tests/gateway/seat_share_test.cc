#include "gateway/seat_share.h"

#include <catch2/catch.hpp>

#include "support/manual_clock.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

service ServiceNamed(const std::string& name, milliseconds longest) {
  service declared{.name = name};
  declared.classes.push_back({.name = "read",
                              .method = "GET",
                              .path = "/**",
                              .deadline = 1s,
                              .max_deadline = longest,
                              .queue_limit = 8});
  declared.targets.push_back({.name = "w1",
                              .address = "127.0.0.1:1",
                              .failure_domain = "east-a",
                              .slots = 4});
  return declared;
}

deployment_ptr Deployed() {
  declaration frame;
  frame.regions.push_back(
      {.name = "east", .failure_domains = {"east-a"}, .partition_count = 2});
  frame.default_region = "east";
  frame.services = {ServiceNamed("levels", 3s), ServiceNamed("archives", 300s)};
  frame.limits.loan_ttl = 250ms;
  frame.limits.clock_drift = 50ms;
  const auto no_blocks = [](const home_region_table::block_visitor&) {};
  return new deployment(frame, 1,
                        new home_region_table(frame.regions, no_blocks));
}

struct share_rig {
  manual_clock clock;
  metrics counters;
  gate_set gates{"east", 1, clock, [](const loan_outbox&) {}};
  seat_share shares{"east", gates, clock, counters};
  deployment_ptr present = Deployed();

  share_rig() {
    gates.Follow(*present);
    shares.Follow(present);
  }
  std::uint32_t Owned(const std::string& service) {
    return gates.Find(service)->status().owned;
  }
};

}  // namespace

TEST_CASE("a killed entry's seat serves each service after that one's wait") {
  // An entry is killed and another takes its seat. Levels have to come back
  // within seconds although a class of downloads may run for five minutes.
  share_rig rig;
  rig.shares.OnUsablePartitions({0});
  rig.shares.OnPartitionTakeovers({{.number = 1, .since = rig.clock.now()}});
  CHECK(rig.Owned("levels") == 2);
  rig.clock.Advance(3299ms);
  rig.shares.Tick();
  CHECK(rig.Owned("levels") == 2);
  rig.clock.Advance(1ms);
  rig.shares.Tick();
  CHECK(rig.Owned("levels") == 4);
  CHECK(rig.Owned("archives") == 2);
  // The keeper tells when the whole wait is over.
  rig.shares.OnPartitionTakeovers({});
  rig.shares.OnUsablePartitions({0, 1});
  CHECK(rig.Owned("levels") == 4);
  CHECK(rig.Owned("archives") == 4);
}

TEST_CASE("a seat that is given up while it waits takes its slots along") {
  share_rig rig;
  rig.shares.OnPartitionTakeovers({{.number = 0, .since = rig.clock.now()}});
  rig.clock.Advance(4s);
  rig.shares.Tick();
  CHECK(rig.Owned("levels") == 2);
  rig.shares.OnPartitionTakeovers({});
  CHECK(rig.Owned("levels") == 0);
}
