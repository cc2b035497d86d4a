#include "routing/region_plan.h"

#include <catch2/catch.hpp>

using namespace samphire;

namespace {

// Returns the load per slot of each region's targets under equal demand from
// every region's callers.
std::map<std::string, double> LoadPerSlot(const region_capacity& capacity) {
  std::map<std::string, double> load;
  for (const auto& [from, unused] : capacity) {
    const auto factors = PlanRegions(capacity, from);
    double all = 0;
    for (const auto& [region, factor] : factors)
      all += factor * capacity.at(region);
    for (const auto& [region, factor] : factors)
      load[region] += factor / all;
  }
  return load;
}

}  // namespace

TEST_CASE("regions with capacity for their own callers keep them") {
  const auto factors = PlanRegions({{"a", 10}, {"b", 10}}, "a");
  CHECK(factors.at("a") == Approx(1));
  CHECK(factors.at("b") == Approx(0));
}

// Guards against a plan by distance alone. A third of the callers are in a
// region with a ninth of the targets; they would wait behind each other while
// targets elsewhere were idle.
TEST_CASE("callers of a small region use the free capacity of the others") {
  const region_capacity capacity = {{"a", 32}, {"b", 32}, {"c", 8}};
  const auto load = LoadPerSlot(capacity);
  CHECK(load.at("a") == Approx(load.at("c")).epsilon(0.01));
  CHECK(load.at("b") == Approx(load.at("c")).epsilon(0.01));
  CHECK(PlanRegions(capacity, "a").at("a") == Approx(24.0 / 32));
}

TEST_CASE("callers of a region whose targets are all gone are served") {
  const auto factors = PlanRegions({{"a", 10}, {"b", 20}}, "dark");
  CHECK(factors.at("b") > 0);
}

TEST_CASE("without any target there is no plan") {
  CHECK(PlanRegions({}, "a").empty());
}

TEST_CASE("failure domains with capacity for their own callers keep them") {
  const auto factors = PlanDomains({{"a-1", 10}, {"a-2", 10}}, "a-1", 1);
  CHECK(factors.at("a-1") == Approx(1));
  CHECK(factors.at("a-2") == Approx(0));
}

// Guards against a plan by distance alone. One of a region's domains has four
// times the other's targets, and demand is equal in both. Callers of the small
// domain would wait in queues while the targets of the other domain were idle.
TEST_CASE(
    "callers of a small failure domain use the free capacity of the others") {
  const domain_capacity capacity = {{"a-1", 8}, {"a-2", 32}};
  const auto small = PlanDomains(capacity, "a-1", 1);
  const auto large = PlanDomains(capacity, "a-2", 1);
  CHECK(small.at("a-1") == Approx(1));
  CHECK(8 * small.at("a-1") + 32 * small.at("a-2") == Approx(20));
  CHECK(large.at("a-1") == Approx(0));
  CHECK(32 * (small.at("a-2") + large.at("a-2")) == Approx(32));
}

// A region's callers use half of its capacity, since it has twice its share of
// the targets. Each domain has the capacity for its own callers.
TEST_CASE("domains with free capacity keep their own callers") {
  const auto factors = PlanDomains({{"a-1", 10}, {"a-2", 10}}, "a-2", 0.5);
  CHECK(factors.at("a-1") == Approx(0));
  CHECK(factors.at("a-2") == Approx(0.5));
}

TEST_CASE(
    "callers of a domain without targets use the region's other domains") {
  const auto factors = PlanDomains({{"a-1", 10}, {"a-2", 10}}, "a-3", 1);
  CHECK(factors.at("a-1") == Approx(1.0 / 3));
  CHECK(factors.at("a-2") == Approx(1.0 / 3));
}
