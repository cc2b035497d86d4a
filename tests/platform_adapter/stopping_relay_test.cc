#include <Poco/Exception.h>
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform_adapter/fleet_fixture.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

// Time after which an entry no longer takes an earlier connection for a proof
// that its links work.
constexpr auto kQuiet = 900ms;
constexpr int kCallers = 8;
constexpr auto kLoadTime = 4s;

struct told_caller {
  std::string id;
  int status = 0;
};

}  // namespace

// Guards against requests that are lost with the entry through which others
// pass them on, when that one is stopped.
TEST_CASE("requests through an entry that stops are answered or not run") {
  ticking_fleet fleet;
  for (auto* target : {&fleet.targets.write_1, &fleet.targets.write_2})
    target->work_ms = 300;
  const auto& address = fleet.settings.front().traffic.caller_address;
  REQUIRE(Eventually([&] {
    return SendCall(address, {.method = "POST", .path = "/write/x"}).status ==
           200;
  }));
  fleet.links.front()->CutAll(link_cut::kRefuseNew);
  std::this_thread::sleep_for(kQuiet);
  std::mutex lock;
  std::vector<told_caller> told;
  const auto until = std::chrono::steady_clock::now() + kLoadTime;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
        told_caller one{fmt::format("r{}-{}", caller, i)};
        try {
          one.status = SendCall(address, {.method = "POST",
                                          .path = "/write/" + one.id,
                                          .id = one.id,
                                          .affinity_key = one.id})
                           .status;
        } catch (const Poco::Exception&) {
          // The status stays 0.
        }
        const std::lock_guard guard(lock);
        told.push_back(std::move(one));
      }
    });
  }
  std::this_thread::sleep_for(500ms);
  // The others stop one after the other; the last one is in another region.
  std::vector<std::thread> stops;
  for (const std::size_t relay : {1, 2}) {
    auto& entry = *fleet.entries[relay];
    entry.BeginStop(std::chrono::steady_clock::now());
    stops.emplace_back([&entry] { entry.Drain(); });
    std::this_thread::sleep_for(300ms);
  }
  for (auto& each : callers)
    each.join();
  for (auto& each : stops)
    each.join();
  auto runs = fleet.targets.write_1.runs_by_id();
  runs.merge(fleet.targets.write_2.runs_by_id());
  int served = 0;
  for (const auto& each : told) {
    INFO(each.id << " status " << each.status << ", ran "
                 << runs.contains(each.id));
    CHECK((each.status == 200 || each.status == 503));
    CHECK((each.status == 200) == runs.contains(each.id));
    served += each.status == 200 ? 1 : 0;
  }
  CHECK(served > 0);
}
