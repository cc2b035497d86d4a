#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/fleet_fixture.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

// The entry that is cut off, and another one.
constexpr std::size_t kCut = 0;
constexpr std::size_t kWhole = 1;
// Time after which a cut must not show to callers any more.
constexpr auto kStableWindow = 3s;
constexpr int kRequests = 30;
// A little more than the part of first tries that may fail at a cut entry.
constexpr int kMinServed = kRequests - 1;

// A fleet in which entries can be cut off from targets, while callers, the
// store and the other entries still reach them.
struct cut_setup : ticking_fleet {
  explicit cut_setup(std::size_t count = 4) : ticking_fleet(count) {}

  call_response Read(std::size_t entry, const std::string& name) const {
    return SendCall(
        settings[entry].traffic.caller_address,
        {.path = "/read/" + name, .id = "r-" + name, .affinity_key = name});
  }
  call_response Write(std::size_t entry, const std::string& name) const {
    return SendCall(settings[entry].traffic.caller_address,
                    {.method = "POST",
                     .path = "/write/" + name,
                     .body = name,
                     .id = "w-" + name,
                     .affinity_key = name});
  }
  // Returns how many of the requests to the entry succeeded at the first try.
  int Served(std::size_t entry, const std::string& name) const {
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      const auto each = name + std::to_string(i);
      const auto response = i % 2 == 0 ? Read(entry, each) : Write(entry, each);
      served += response.status == 200 ? 1 : 0;
    }
    return served;
  }
  // Sends requests to the entry for a time, as callers do.
  void Load(std::size_t entry, std::chrono::milliseconds time) const {
    const auto until = std::chrono::steady_clock::now() + time;
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
      Read(entry, "load" + std::to_string(i));
      Write(entry, "load" + std::to_string(i));
      std::this_thread::sleep_for(20ms);
    }
  }
  int MostRuns() {
    int most = 0;
    for (const auto* target : {&targets.write_1, &targets.write_2}) {
      for (const auto& [id, runs] : target->runs_by_id())
        most = std::max(most, runs);
    }
    return most;
  }
  double MetricOf(std::size_t entry, const std::string& line) const {
    const auto text =
        SendCall(settings[entry].traffic.metrics_address, {.path = "/metrics"})
            .body;
    const auto at = text.find(line + " ");
    return at == std::string::npos
               ? 0
               : std::stod(text.substr(at + line.size() + 1));
  }
};

}  // namespace

// Guards against callers who are refused, since the entry that they use has
// lost its own links to all targets, while all other entries reach them.
TEST_CASE("an entry that is cut off from all targets serves its callers") {
  const auto cut =
      GENERATE(link_cut::kHang, link_cut::kReset, link_cut::kRefuseNew);
  cut_setup fleet;
  REQUIRE(fleet.Served(kCut, "before") == kRequests);
  fleet.links[kCut]->CutAll(cut);
  fleet.Load(kCut, kStableWindow);
  CHECK(fleet.Served(kCut, "cut") >= kMinServed);
  CHECK(fleet.Served(kWhole, "beside") >= kMinServed);
  CHECK(fleet.MostRuns() <= 1);
}

// Guards against an entry that goes on without its links when they are back.
TEST_CASE("an entry whose links are back uses them again") {
  cut_setup fleet;
  fleet.links[kCut]->CutAll(link_cut::kHang);
  fleet.Load(kCut, kStableWindow);
  fleet.links[kCut]->CutAll(link_cut::kNone);
  fleet.Load(kCut, kStableWindow);
  const auto relayed = [&] {
    return fleet.MetricOf(kCut, R"(relayed_total{result="answered"})");
  };
  const double before = relayed();
  CHECK(before > 0);
  CHECK(fleet.Served(kCut, "after") >= kMinServed);
  CHECK(relayed() == before);
}

// Guards against most entries of a region that are cut off at once: the only
// one that is not, or one of another region, must serve for them.
TEST_CASE("a region whose entries are all cut off is served through another") {
  cut_setup fleet;
  for (const std::size_t entry : {0, 1, 2})
    fleet.links[entry]->CutAll(link_cut::kHang);
  for (const std::size_t entry : {0, 1, 2})
    fleet.Load(entry, kStableWindow / 3);
  fleet.Load(kCut, kStableWindow);
  int served = 0;
  for (int i = 0; i < kRequests; ++i)
    served += fleet.Read(kCut, "all" + std::to_string(i)).status == 200 ? 1 : 0;
  CHECK(served >= kMinServed);
}

// Guards against a link to some targets that is taken for their failure.
TEST_CASE("an entry that is cut off from some targets serves its callers") {
  const auto cut = GENERATE(link_cut::kHang, link_cut::kReset);
  cut_setup fleet;
  REQUIRE(fleet.Served(kCut, "before") == kRequests);
  for (const auto* target : {&fleet.targets.read_1, &fleet.targets.write_1})
    fleet.links[kCut]->Cut(target->address(), cut);
  fleet.Load(kCut, kStableWindow);
  CHECK(fleet.Served(kCut, "cut") >= kMinServed);
  CHECK(fleet.Served(kWhole, "beside") >= kMinServed);
  CHECK(fleet.MostRuns() <= 1);
}

// Guards against the owner of a key that leaves a target alone for the whole
// region, since one entry could not reach it.
TEST_CASE("a cut entry takes no target away from the others") {
  // As many entries of a region as have owners for keys.
  cut_setup fleet(8);
  fleet.links[kCut]->CutAll(link_cut::kHang);
  std::jthread load([&](const std::stop_token& stop) {
    while (!stop.stop_requested())
      fleet.Load(kCut, 200ms);
  });
  for (int round = 0; round < 3; ++round) {
    for (std::size_t entry = 1; entry < fleet.entries.size(); ++entry) {
      CHECK(fleet.Served(entry, "round" + std::to_string(round)) == kRequests);
    }
  }
}

// Guards against an owner of keys that is cut off and chooses for others by
// what it could not reach itself.
TEST_CASE("an owner of keys that is cut off still places for the others") {
  cut_setup fleet(8);
  for (const std::size_t entry : {0, 1, 2})
    fleet.links[entry]->CutAll(link_cut::kHang);
  for (const std::size_t entry : {0, 1, 2})
    fleet.Load(entry, kStableWindow / 2);
  for (std::size_t entry = 3; entry < fleet.entries.size(); ++entry)
    CHECK(fleet.Served(entry, "placed") >= kMinServed);
}

// Guards against requests that are refused as crashing targets, since they ran
// at each of several cuts that reset connections.
TEST_CASE("cuts in series convict no request") {
  cut_setup fleet;
  for (auto* target : {&fleet.targets.read_1, &fleet.targets.read_2})
    target->work_ms = 100;
  std::jthread caller([&](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      fleet.Read(kCut, "again");
      fleet.Read(kCut, "and-again");
    }
  });
  for (int i = 0; i < 6; ++i) {
    std::this_thread::sleep_for(1050ms);
    fleet.links[kCut]->CutAll(link_cut::kReset);
    std::this_thread::sleep_for(200ms);
    fleet.links[kCut]->CutAll(link_cut::kNone);
  }
  caller.request_stop();
  caller.join();
  std::this_thread::sleep_for(2s);
  for (std::size_t entry = 0; entry < fleet.entries.size(); ++entry) {
    CHECK(fleet.Read(entry, "again").status == 200);
    CHECK(fleet.Read(entry, "and-again").status == 200);
  }
}

// Guards against a request that crashes target after target through an entry
// that is cut off, whose losses nobody counts.
TEST_CASE("a request that crashes targets is stopped at a cut entry") {
  cut_setup fleet;
  for (auto* target : {&fleet.targets.read_1, &fleet.targets.read_2})
    target->crash_path = "/read/crasher";
  fleet.links[kCut]->CutAll(link_cut::kHang);
  fleet.Load(kCut, kStableWindow);
  for (int i = 0; i < 10; ++i) {
    fleet.Read(kCut, "crasher");
    fleet.Load(kCut, 100ms);
  }
  CHECK(fleet.targets.read_1.crashes + fleet.targets.read_2.crashes <= 4);
  CHECK(fleet.Served(kCut, "cut") >= kMinServed);
}

// Guards against work that goes on for a caller who has left, since the entry
// that passes it on does not know.
TEST_CASE("a caller that leaves a cut entry frees the target") {
  cut_setup fleet;
  fleet.links[kCut]->CutAll(link_cut::kHang);
  fleet.Load(kCut, kStableWindow);
  for (auto* target : {&fleet.targets.read_1, &fleet.targets.read_2})
    target->behavior = target_behavior::kHang;
  {
    Poco::Net::StreamSocket caller(
        Poco::Net::SocketAddress(fleet.settings[kCut].traffic.caller_address));
    const std::string request =
        "GET /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: gone\r\n"
        "Request-Deadline: 5000\r\n\r\n";
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    const auto runs = [&] {
      return fleet.targets.read_1.runs_by_id()["gone"] +
             fleet.targets.read_2.runs_by_id()["gone"];
    };
    REQUIRE(Eventually([&] { return runs() > 0; }));
  }
  const auto left = std::chrono::steady_clock::now();
  CHECK(Eventually([&] {
    return fleet.targets.read_1.cancelled + fleet.targets.read_2.cancelled > 0;
  }));
  CHECK(std::chrono::steady_clock::now() - left < 500ms);
}

// Guards against bodies that are cut or changed on the way through an entry.
TEST_CASE("long bodies pass through another entry unchanged") {
  cut_setup fleet;
  fleet.links[kCut]->CutAll(link_cut::kHang);
  fleet.Load(kCut, kStableWindow);
  const std::string body(600'000, 'b');
  const auto response = SendCall(
      fleet.settings[kCut].traffic.caller_address,
      {.method = "POST", .path = "/write/long", .body = body, .id = "long"});
  CHECK(response.status == 200);
  CHECK(response.body == "POST /write/long " + body);
}

// Guards against strangers who send requests to targets through the port for
// peers, past all limits.
TEST_CASE("only an entry may have a request passed on") {
  cut_setup fleet;
  const auto& target = fleet.targets.read_1;
  const std::vector<std::pair<std::string, std::string>> headers = {
      {"Samphirewinch-Relay-Service", "reads"},
      {"Samphirewinch-Relay-Target", target.id()},
      {"Samphirewinch-Relay-Idempotent", "1"}};
  const int before = fleet.targets.read_1.arrivals;
  const auto response =
      SendCall(fleet.settings[kCut].traffic.peer_address, {.headers = headers});
  CHECK(response.status >= 400);
  CHECK(fleet.targets.read_1.arrivals == before);
}
