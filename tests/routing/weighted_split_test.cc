#include "routing/weighted_split.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "routing/target_rank.h"

using namespace samphire;

namespace {

const time_point kNow{std::chrono::hours{1}};

}  // namespace

// Guards against a division by key alone when one key has far more requests
// than the others. Its part would get far more than its weight: an operator who
// sends one in ten requests to a new service would see half of the traffic
// there.
TEST_CASE("each part gets its weight even if one key dominates the demand") {
  const std::vector<route_part> parts = {{"a", 90}, {"b", 10}};
  weighted_split split;
  std::mt19937 random(7);
  int to_b = 0;
  constexpr int kRequests = 4000;
  for (int i = 0; i < kRequests; ++i) {
    const auto key = random() % 2 == 0 ? 0 : random() % 24;
    to_b +=
        split.Choose(parts, KeyHash(std::to_string(key)), kNow) == 1 ? 1 : 0;
  }
  CHECK(std::abs(to_b / double{kRequests} - 0.1) < 0.04);
}

TEST_CASE("with many keys, most requests go to the part of their key") {
  const std::vector<route_part> parts = {{"a", 50}, {"b", 50}};
  weighted_split split;
  std::mt19937 random(7);
  int kept = 0;
  constexpr int kRequests = 4000;
  for (int i = 0; i < kRequests; ++i) {
    const auto hash = KeyHash(std::to_string(random() % 400));
    const std::size_t own = hash < (1ULL << 63) ? 0 : 1;
    kept += split.Choose(parts, hash, kNow) == own ? 1 : 0;
  }
  CHECK(kept > kRequests * 0.85);
}

TEST_CASE("the shares follow a changed weight within some hundred requests") {
  weighted_split split;
  std::mt19937 random(7);
  const auto run = [&](double weight, int requests) {
    const std::vector<route_part> parts = {{"a", 100 - weight}, {"b", weight}};
    int to_b = 0;
    for (int i = 0; i < requests; ++i)
      to_b += split.Choose(parts, KeyHash(std::to_string(random() % 24)),
                           kNow) == 1;
    return to_b / double(requests);
  };
  run(10, 1000);
  run(70, 300);
  CHECK(std::abs(run(70, 1000) - 0.7) < 0.06);
}
