#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "traffic/followed_region.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> kPrefixes = {"evacuations/", "servers/"};
const std::set<std::string> kAnnounced = {"evacuations/"};
const std::set<std::string> kNoneAnnounced;
// Within this time an evacuation is to be in force at all entries.
constexpr milliseconds kLimit{2500};
constexpr milliseconds kSilence{1000};

// Evacuates a domain at `moment` of a silence of the store that ends with the
// loss of its history.
void EvacuateInSilence(followed_region& region,
                       const std::string& domain,
                       milliseconds moment) {
  region.store().SetSilent(true);
  std::this_thread::sleep_for(moment);
  const auto key = "evacuations/" + domain;
  region.store().Write(key, "x");
  const auto written = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kSilence - moment);
  region.store().DropHistory();
  region.store().SetSilent(false);
  const auto elapsed = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - written);
  const auto late = region.WaitForAll(key, "x", kLimit - elapsed);
  const auto known = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - written);
  INFO("evacuated after " << moment.count() << " ms of silence, "
                          << known.count() << " ms until known");
  CHECK_THAT(late, Catch::Matchers::Equals(std::vector<std::string>{}));
}

void EvacuateAtSeveralMoments(std::size_t entries,
                              milliseconds call_time,
                              const std::set<std::string>& announced) {
  followed_region region(entries, kPrefixes, announced);
  region.store().Write("evacuations/first", "x");
  REQUIRE(region.WaitForAll("evacuations/first", "x", 30s).empty());
  region.SetCallTime(call_time);
  for (int round = 0; round < 4; ++round) {
    std::this_thread::sleep_for(4s);
    EvacuateInSilence(region, std::to_string(round), 1ms + 320ms * round);
  }
}

}  // namespace

// Guards against an evacuation that is known late because the store was silent
// as it was written, and had dropped its history after.
TEST_CASE("an evacuation that is announced after a silence is known in time") {
  SECTION("by 10 entries") {
    EvacuateAtSeveralMoments(10, 0ms, kAnnounced);
  }
  SECTION("by 89 entries with little processor") {
    EvacuateAtSeveralMoments(89, 10ms, kAnnounced);
  }
}

// Guards against the same where all announcements are lost.
TEST_CASE("an evacuation in a silence with lost history is known in time") {
  SECTION("by 10 entries") {
    EvacuateAtSeveralMoments(10, 0ms, kNoneAnnounced);
  }
  SECTION("by 89 entries") {
    EvacuateAtSeveralMoments(89, 0ms, kNoneAnnounced);
  }
}

// Guards against the same where answers between entries take long, so that
// those of a whole region wait for two watchers.
TEST_CASE("an evacuation is known in time by entries with little processor") {
  EvacuateAtSeveralMoments(65, 10ms, kNoneAnnounced);
}

// Too many threads for CI.
TEST_CASE("an evacuation that is announced is known in time by 300 entries",
          "[.large]") {
  EvacuateAtSeveralMoments(300, 0ms, kAnnounced);
}

TEST_CASE("an evacuation in a silence is known in time by 300 entries",
          "[.large]") {
  EvacuateAtSeveralMoments(300, 0ms, kNoneAnnounced);
}
