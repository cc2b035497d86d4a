#include "gateway/partition_distributor.h"

#include <catch2/catch.hpp>

#include "support/manual_clock.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Returns a service with four slots on one target, and with one class whose
// longest deadline is `longest`.
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

// Returns a deployment with two partitions and a service each with short and
// with long deadlines.
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

struct distributor_fixture {
  manual_clock clock;
  metrics counters;
  gate_set gates{"east", 1, clock, [](const loan_outbox&) {}};
  partition_distributor distributor{"east", gates, clock, counters};
  deployment_ptr present = Deployed();

  distributor_fixture() {
    gates.Follow(*present);
    distributor.Follow(present);
  }
  std::uint32_t Owned(const std::string& service) {
    return gates.Find(service)->status().owned;
  }
};

}  // namespace

TEST_CASE("a partition in takeover serves each service after its own delay") {
  // Guards against idle slots after a takeover: an entry is killed and another
  // takes over its partition. Levels must be served again within seconds,
  // although a class of downloads may run for five minutes.
  distributor_fixture fixture;
  fixture.distributor.OnUsablePartitions({0});
  fixture.distributor.OnPartitionTakeovers(
      {{.number = 1, .since = fixture.clock.now()}});
  CHECK(fixture.Owned("levels") == 2);
  fixture.clock.Advance(3299ms);
  fixture.distributor.Tick();
  CHECK(fixture.Owned("levels") == 2);
  fixture.clock.Advance(1ms);
  fixture.distributor.Tick();
  CHECK(fixture.Owned("levels") == 4);
  CHECK(fixture.Owned("archives") == 2);
  // The partition manager reports when the delay for all services has passed.
  fixture.distributor.OnPartitionTakeovers({});
  fixture.distributor.OnUsablePartitions({0, 1});
  CHECK(fixture.Owned("levels") == 4);
  CHECK(fixture.Owned("archives") == 4);
}

TEST_CASE("a partition that is released during its takeover loses its slots") {
  distributor_fixture fixture;
  fixture.distributor.OnPartitionTakeovers(
      {{.number = 0, .since = fixture.clock.now()}});
  fixture.clock.Advance(4s);
  fixture.distributor.Tick();
  CHECK(fixture.Owned("levels") == 2);
  fixture.distributor.OnPartitionTakeovers({});
  CHECK(fixture.Owned("levels") == 0);
}
