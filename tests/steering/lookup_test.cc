#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <thread>

#include "config/client_block_text.h"
#include "steering/lookup_composer.h"
#include "steering/shared_snapshot.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

client_block BlockOf(const std::string& text, const std::string& region) {
  auto block = *ParseClientBlock(text);
  block.region = region;
  return block;
}

declaration ThreeRegions() {
  declaration made;
  made.regions = {{"colombo", {"colombo-a"}, 4},
                  {"kandy", {"kandy-a"}, 4},
                  {"galle", {"galle-a"}, 4},
                  {"jaffna", {"jaffna-a"}, 4}};
  made.default_region = "colombo";
  made.latencies = {{"colombo", "galle", 20ms},
                    {"kandy", "colombo", 35ms},
                    {"galle", "kandy", 10ms}};
  made.client_blocks = {BlockOf("127.30.0.0/16", "kandy"),
                        BlockOf("127.30.3.0/24", "galle")};
  return made;
}

std::vector<live_entry> EntriesOf(int each) {
  std::vector<live_entry> entries;
  for (const std::string region : {"colombo", "kandy", "galle"}) {
    for (int i = 0; i < each; ++i) {
      const auto name = region + "-" + std::to_string(i);
      entries.push_back({name, "127.0.0.1:80", region, false, 0.1});
    }
  }
  return entries;
}

ip_address Caller(int number) {
  return *ParseIpAddress("127.30." + std::to_string(number / 250 % 3) + "." +
                         std::to_string(1 + number % 250));
}

std::map<std::string, int> FirstChoices(const std::vector<live_entry>& entries,
                                        int callers) {
  const lookup_snapshot snapshot(ThreeRegions(), 7);
  const entry_directory directory(entries);
  std::map<std::string, int> first_choices;
  for (int i = 0; i < callers; ++i) {
    const auto response = ComposeLookupResponse(snapshot, directory, Caller(i));
    ++first_choices[response.entries.front().name];
  }
  return first_choices;
}

}  // namespace

TEST_CASE("regions are ordered by latency, those without a latency last") {
  const region_order order(ThreeRegions());
  using names = std::vector<std::string>;
  CHECK(order.RegionsByLatencyFrom("colombo") ==
        names{"colombo", "galle", "kandy", "jaffna"});
  CHECK(order.RegionsByLatencyFrom("kandy") ==
        names{"kandy", "galle", "colombo", "jaffna"});
  CHECK(order.RegionsByLatencyFrom("jaffna") ==
        names{"jaffna", "colombo", "kandy", "galle"});
  CHECK(order.RegionsByLatencyFrom("nowhere").empty());
}

TEST_CASE(
    "a caller's home region is that of the longest block, else the default") {
  const lookup_snapshot snapshot(ThreeRegions(), 7);
  CHECK(snapshot.RegionOf(*ParseIpAddress("127.30.1.9")) == "kandy");
  CHECK(snapshot.RegionOf(*ParseIpAddress("127.30.3.9")) == "galle");
  CHECK(snapshot.RegionOf(*ParseIpAddress("::ffff:127.30.3.9")) == "galle");
  CHECK(snapshot.RegionOf(*ParseIpAddress("127.31.0.1")) == "colombo");
  CHECK(snapshot.RegionOf(*ParseIpAddress("2001:db8::1")) == "colombo");
}

TEST_CASE("a response lists the home region first, with TTL and version") {
  const lookup_snapshot snapshot(ThreeRegions(), 7);
  const entry_directory directory(EntriesOf(5));
  const auto response = ComposeLookupResponse(snapshot, directory, Caller(1));
  std::vector<std::string> regions;
  std::set<std::string> names;
  for (const auto& entry : response.entries) {
    regions.push_back(entry.region);
    names.insert(entry.name);
  }
  CHECK(regions == std::vector<std::string>{"kandy", "kandy", "kandy", "kandy",
                                            "galle", "galle", "colombo",
                                            "colombo"});
  CHECK(names.size() == response.entries.size());
  CHECK(response.ttl == 2000ms);
  lookup_response small{
      "kandy", {{"e\"1", "127.0.0.1:80", "kandy"}}, 2000ms, 7};
  CHECK(WriteLookupResponse(small) ==
        R"({"region":"kandy","entries":[{"name":"e\"1",)"
        R"("address":"127.0.0.1:80","region":"kandy"}],)"
        R"("ttl_ms":2000,"config_version":7})");
}

// At peak time the callers of a region come all at once. If all of them were
// given the same first entry, it would refuse requests while the other entries
// of the region idle.
TEST_CASE("the callers of a region spread over its entries") {
  const auto first_choices = FirstChoices(EntriesOf(4), 600);
  REQUIRE(first_choices.size() == 4);
  for (const auto& [name, callers] : first_choices) {
    INFO(name);
    CHECK(callers > 100);
    CHECK(callers < 200);
  }
}

// An entry is stopped for maintenance. Only its own callers move, and they
// spread over all remaining entries instead of overloading one of them.
TEST_CASE("when an entry leaves, only its callers move, to all that remain") {
  auto entries = EntriesOf(4);
  const auto before = FirstChoices(entries, 600);
  const auto leaving =
      std::find_if(entries.begin(), entries.end(),
                   [](const auto& entry) { return entry.name == "kandy-2"; });
  leaving->leaving = true;
  const auto after = FirstChoices(entries, 600);
  CHECK_FALSE(after.contains("kandy-2"));
  for (const auto* name : {"kandy-0", "kandy-1", "kandy-3"})
    CHECK(after.at(name) > before.at(name) + 20);
}

// One entry reports overload, possibly late. It gets fewer callers, but still
// some, since its report may be wrong.
TEST_CASE("an overloaded entry is listed first less often, but not never") {
  auto entries = EntriesOf(4);
  for (auto& entry : entries)
    entry.load = entry.name == "kandy-1" ? 0.99 : 0.2;
  const auto first_choices = FirstChoices(entries, 600);
  CHECK(first_choices.at("kandy-1") > 0);
  CHECK(first_choices.at("kandy-1") < 60);
}

// A whole region has failed: none of its entries is a live member.
TEST_CASE("callers of a failed region are sent to the next one") {
  auto entries = EntriesOf(4);
  std::erase_if(entries,
                [](const auto& entry) { return entry.region == "kandy"; });
  const lookup_snapshot snapshot(ThreeRegions(), 7);
  const auto response =
      ComposeLookupResponse(snapshot, entry_directory(entries), Caller(1));
  REQUIRE(response.entries.size() == 4);
  CHECK(response.entries.front().region == "galle");
  CHECK(response.entries.back().region == "colombo");
  CHECK(ComposeLookupResponse(snapshot, entry_directory({}), Caller(1))
            .entries.empty());
}

// The configuration changes while look-ups run. A reader that used a snapshot
// that is half replaced or already freed would send callers to arbitrary
// entries.
TEST_CASE("readers always get a complete snapshot while it is replaced") {
  const auto made = [](std::uint64_t version) {
    auto declared = ThreeRegions();
    declared.default_region = version % 2 == 0 ? "colombo" : "galle";
    return boost::intrusive_ptr<const lookup_snapshot>(
        new lookup_snapshot(declared, version));
  };
  shared_snapshot<lookup_snapshot> shared(made(0));
  const auto unknown_caller = *ParseIpAddress("192.0.2.1");
  std::atomic<bool> stop{false};
  std::atomic<int> wrong{0};
  std::atomic<int> started{0};
  std::vector<std::thread> readers;
  readers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      ++started;
      std::uint64_t latest = 0;
      while (!stop) {
        shared.Read([&](const lookup_snapshot* one) {
          const auto* expected = one->version() % 2 == 0 ? "colombo" : "galle";
          if (one->RegionOf(unknown_caller) != expected ||
              one->version() < latest)
            ++wrong;
          latest = one->version();
        });
        if (shared.Get()->version() < latest)
          ++wrong;
      }
    });
  }
  while (started < 3)
    std::this_thread::yield();
  for (std::uint64_t version = 1; version <= 300; ++version)
    shared.Replace(made(version));
  stop = true;
  for (auto& reader : readers)
    reader.join();
  CHECK(wrong == 0);
  CHECK(shared.Get()->version() == 300);
  CHECK(shared.Get()->use_count() == 2);
}
