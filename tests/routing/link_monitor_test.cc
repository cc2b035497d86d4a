#include "routing/link_monitor.h"

#include <catch2/catch.hpp>
#include <string>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr time_point kNow{std::chrono::hours(1)};

live_target Target(const std::string& id, const std::string& domain) {
  return {.id = id, .address = id + ":1", .failure_domain = domain};
}

const live_target kA1 = Target("a1", "a");
const live_target kA2 = Target("a2", "a");
const live_target kA3 = Target("a3", "a");
const live_target kB1 = Target("b1", "b");
const live_target kC1 = Target("c1", "c");

void Fail(link_monitor& links, const live_target& target, time_point now) {
  links.OnConnectFailed(target, now - 250ms, now);
}

}  // namespace

TEST_CASE("all targets are reached directly at first") {
  link_monitor links;
  CHECK(links.PathTo(kA1, kNow) == target_path::kDirect);
  CHECK_FALSE(links.NextProbe(kNow));
}

// Guards against taking one target that is down for a fault of the link.
TEST_CASE("one target that can't be reached puts no other under suspicion") {
  link_monitor links;
  Fail(links, kA1, kNow);
  CHECK(links.PathTo(kA1, kNow) == target_path::kRelayed);
  CHECK(links.PathTo(kA2, kNow) == target_path::kDirect);
  CHECK_FALSE(links.IsLinkSuspect(kA1, kNow));
}

// Guards against the loss of a failure domain that is taken for that of all
// links: all entries would then send everything through each other.
TEST_CASE("the loss of a domain leaves the links to others trusted") {
  link_monitor links;
  for (const auto& target : {kA1, kA2, kA3})
    Fail(links, target, kNow);
  CHECK(links.IsLinkSuspect(kA1, kNow));
  CHECK(links.PathTo(kB1, kNow) == target_path::kDirect);
}

// Guards against trying target after target, while each attempt costs a caller
// the time limit of a connection.
TEST_CASE("failures in two domains put all links under suspicion") {
  link_monitor links;
  Fail(links, kA1, kNow);
  Fail(links, kB1, kNow);
  CHECK(links.PathTo(kC1, kNow) == target_path::kRelayed);
  // A target that is reached through others only is probed as well.
  links.NextProbe(kNow);
  CHECK(links.NextProbe(kNow + 1s));
}

// Guards against old failures that count with new ones, although connections
// were opened in between.
TEST_CASE("a connection that is opened ends the suspicion of other targets") {
  link_monitor links;
  Fail(links, kA1, kNow);
  Fail(links, kB1, kNow);
  links.OnConnected(kC1, kNow + 10ms);
  CHECK(links.PathTo(kA2, kNow + 10ms) == target_path::kDirect);
  CHECK(links.PathTo(kA1, kNow + 10ms) == target_path::kRelayed);
  Fail(links, kC1, kNow + 1s);
  CHECK(links.PathTo(kA2, kNow + 1s) == target_path::kDirect);
}

TEST_CASE("a target is reached directly again once a probe has reached it") {
  link_monitor links;
  Fail(links, kA1, kNow);
  CHECK_FALSE(links.NextProbe(kNow + 100ms));
  const auto probed = links.NextProbe(kNow + 600ms);
  REQUIRE(probed);
  CHECK(probed->id == "a1");
  CHECK_FALSE(links.NextProbe(kNow + 700ms));
  links.OnConnected(*probed, kNow + 700ms);
  CHECK(links.PathTo(kA1, kNow + 700ms) == target_path::kDirect);
  CHECK(links.unreachable(kNow + 700ms) == 0);
}

// Guards against probes of targets that are gone, for as long as the entry
// runs.
TEST_CASE("a target for which no requests come is not probed any more") {
  link_monitor links;
  Fail(links, kA1, kNow);
  for (auto at = kNow + 600ms; at < kNow + 9s; at += 600ms)
    CHECK(links.NextProbe(at));
  CHECK_FALSE(links.NextProbe(kNow + 12s));
}

// Guards against blaming a target for what may be the fault of the link.
TEST_CASE("a target is down only if another one was reached meanwhile") {
  link_monitor links;
  Fail(links, kA1, kNow);
  CHECK_FALSE(links.IsDown(kA1, kNow));
  links.OnConnected(kB1, kNow);
  CHECK(links.IsDown(kA1, kNow));
  CHECK_FALSE(links.IsDown(kB1, kNow));
  Fail(links, kA2, kNow + 10s);
  CHECK_FALSE(links.IsDown(kA2, kNow + 10s));
}
