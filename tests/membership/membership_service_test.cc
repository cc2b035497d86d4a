#include "membership/membership_service.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/system_clock_source.h"
#include "membership/rendezvous.h"
#include "peer/udp_peer_transport.h"

using namespace samphire;

namespace {

constexpr const char* kKey = "fleet-fleet-fleet-fleet-fleet-fleet";
constexpr const char* kOtherFleetKey = "other-other-other-other-other-other";

// Membership of one entry over UDP on the loopback interface.
struct live_entry {
  live_entry(const std::string& name, const char* key)
      : transport("127.0.0.1:0",
                  name,
                  1,
                  peer_keys::Parse(key).value(),
                  clock,
                  registry),
        service(Self(name, transport.address()),
                Options(),
                transport,
                clock,
                registry,
                1) {
    service.on_config_version = [this](std::uint64_t version, std::uint64_t,
                                       const std::string&) {
      seen_version = version;
    };
  }
  void Start(const std::string& seed) {
    service.AddSeeds({seed});
    transport.Start();
    service.Start();
  }

  static member Self(const std::string& name, const std::string& address) {
    member self;
    self.name = name;
    self.region = "r";
    self.caller_address = self.peer_address = address;
    self.incarnation = 1;
    return self;
  }
  static membership_options Options() {
    membership_options options;
    options.probe_interval = milliseconds(50);
    options.join_retry_interval = milliseconds(50);
    return options;
  }

  system_clock_source clock;
  metrics registry;
  std::atomic<std::uint64_t> seen_version{0};
  udp_peer_transport transport;
  membership_service service;
};

template <typename F>
void WaitFor(F&& reached) {
  while (!reached())
    std::this_thread::sleep_for(milliseconds(5));
}

}  // namespace

TEST_CASE(
    "members learn of each other, of configuration and of leaving members") {
  std::vector<std::unique_ptr<live_entry>> entries;
  entries.reserve(3);
  for (int i = 0; i < 3; ++i) {
    entries.push_back(
        std::make_unique<live_entry>("e" + std::to_string(i), kKey));
  }
  for (auto& entry : entries)
    entry->Start(entries.front()->transport.address());
  for (auto& entry : entries) {
    WaitFor([&] { return entry->service.EntriesOf("r").size() == 3; });
    CHECK(entry->service.members().size() == 3);
  }
  member_digest digest;
  digest.config_version = 5;
  entries[0]->service.SetSelf(digest, 77);
  WaitFor([&] { return entries[1]->seen_version == 5; });
  entries[2]->service.AnnounceLeaving();
  for (int i = 0; i < 2; ++i) {
    auto& service = entries[static_cast<std::size_t>(i)]->service;
    WaitFor([&] { return service.EntriesOf("r").size() == 2; });
  }
  int watchers = 0;
  for (auto& entry : entries)
    watchers += entry->service.IsWatcher(1) ? 1 : 0;
  CHECK(watchers == 1);
}

// An entry is started with the key of another fleet. It must not appear among
// the members, or callers would be sent to it. Both sides count the dropped
// messages.
TEST_CASE("an entry with the key of another fleet does not become a member") {
  live_entry own_entry("own", kKey);
  live_entry foreign_entry("foreign", kOtherFleetKey);
  own_entry.Start(foreign_entry.transport.address());
  foreign_entry.Start(own_entry.transport.address());
  const auto dropped = [](live_entry& entry) {
    return entry.registry.counter("peer_dropped_total",
                                  "reason=\"peer-bad-digest\"") >= 3;
  };
  WaitFor([&] { return dropped(own_entry) && dropped(foreign_entry); });
  CHECK(own_entry.service.members().size() == 1);
  CHECK(foreign_entry.service.members().size() == 1);
}

TEST_CASE("removing a name moves only the roles that it had") {
  std::vector<std::string> names;
  names.reserve(50);
  for (int i = 0; i < 50; ++i)
    names.push_back("e" + std::to_string(i));
  int moved = 0;
  int owned = 0;
  for (int shard = 0; shard < 200; ++shard) {
    const auto role = "shard/" + std::to_string(shard);
    const auto before = PickByRendezvous(role, names, 1).front();
    const std::vector<std::string> fewer(names.begin() + 1, names.end());
    const auto after = PickByRendezvous(role, fewer, 1).front();
    moved += before != after ? 1 : 0;
    owned += before == names.front() ? 1 : 0;
  }
  CHECK(moved == owned);
  CHECK(owned < 20);
}
