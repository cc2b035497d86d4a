#include "routing/region_plan.h"

#include <catch2/catch.hpp>

using namespace samphire;

namespace {

// What each region's targets get when every region's callers ask for as much.
std::map<std::string, double> LoadPerSlot(const region_room& room) {
  std::map<std::string, double> load;
  for (const auto& [from, unused] : room) {
    const auto factors = PlanRegions(room, from);
    double all = 0;
    for (const auto& [region, factor] : factors)
      all += factor * room.at(region);
    for (const auto& [region, factor] : factors)
      load[region] += factor / all;
  }
  return load;
}

}  // namespace

TEST_CASE("regions with room for their own callers keep them") {
  const auto factors = PlanRegions({{"a", 10}, {"b", 10}}, "a");
  CHECK(factors.at("a") == Approx(1));
  CHECK(factors.at("b") == Approx(0));
}

// A third of the callers live where a ninth of the targets are. By distance
// alone they wait behind each other while targets elsewhere idle.
TEST_CASE("callers of a small region use the room of the others") {
  const region_room room = {{"a", 32}, {"b", 32}, {"c", 8}};
  const auto load = LoadPerSlot(room);
  CHECK(load.at("a") == Approx(load.at("c")).epsilon(0.01));
  CHECK(load.at("b") == Approx(load.at("c")).epsilon(0.01));
  CHECK(PlanRegions(room, "a").at("a") == Approx(24.0 / 32));
}

TEST_CASE("callers of a region whose targets are all gone are served") {
  const auto factors = PlanRegions({{"a", 10}, {"b", 20}}, "dark");
  CHECK(factors.at("b") > 0);
}

TEST_CASE("without any target there is no plan") {
  CHECK(PlanRegions({}, "a").empty());
}

TEST_CASE("failure domains with room for their own callers keep them") {
  const auto factors = PlanDomains({{"a-1", 10}, {"a-2", 10}}, "a-1", 1);
  CHECK(factors.at("a-1") == Approx(1));
  CHECK(factors.at("a-2") == Approx(0));
}

// One of a region's domains has four times the other's targets, and callers ask
// alike in both. By distance alone those of the small one wait in queues while
// their neighbours' targets idle.
TEST_CASE("callers of a small failure domain use the room of its neighbours") {
  const domain_room room = {{"a-1", 8}, {"a-2", 32}};
  const auto small = PlanDomains(room, "a-1", 1);
  const auto large = PlanDomains(room, "a-2", 1);
  CHECK(small.at("a-1") == Approx(1));
  CHECK(8 * small.at("a-1") + 32 * small.at("a-2") == Approx(20));
  CHECK(large.at("a-1") == Approx(0));
  CHECK(32 * (small.at("a-2") + large.at("a-2")) == Approx(32));
}

// A region's callers use half of its room, since it has twice its share of the
// targets. They all fit into their own domains.
TEST_CASE("a region's spare room leaves its domains to their own callers") {
  const auto factors = PlanDomains({{"a-1", 10}, {"a-2", 10}}, "a-2", 0.5);
  CHECK(factors.at("a-1") == Approx(0));
  CHECK(factors.at("a-2") == Approx(0.5));
}

TEST_CASE("callers of a domain without targets use the region's others") {
  const auto factors = PlanDomains({{"a-1", 10}, {"a-2", 10}}, "a-3", 1);
  CHECK(factors.at("a-1") == Approx(1.0 / 3));
  CHECK(factors.at("a-2") == Approx(1.0 / 3));
}
