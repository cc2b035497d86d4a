// Periodic work of entry_node, and its reactions to updates.

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <utility>

#include "base/log.h"
#include "gateway/entry_node.h"

namespace samphire {

namespace {

// Ramps, expiries and loans progress in steps of milliseconds; a tick of four
// gates costs some microseconds.
constexpr milliseconds kFastTickInterval{5};
// A SlowTick is due every 500 ms, a RequestConfirmation every 4 s.
constexpr int kFastTicksPerSlow = 100;
constexpr int kSlowTicksPerConfirmation = 8;

// Number of a region's entries that watch the store itself; the others get
// changes from their peers. See distribution/watcher_choice.h.
constexpr std::size_t kWatchers = kWatchersPerRegion;

// Returns how long loans and requests of a partition's former owner may still
// be running: the longest deadline of any class, plus loan time to live and
// clock drift.
duration TakeoverDelay(const declaration& declared) {
  milliseconds longest{0};
  for (const auto& service : declared.services) {
    for (const auto& each : service.classes)
      longest = std::max({longest, each.deadline, each.max_deadline});
  }
  const auto& limits = declared.limits;
  return limits.loan_ttl + limits.clock_drift + longest;
}

// Returns the number of slot partitions of the region, or 0 if it isn't
// declared.
std::uint32_t PartitionCount(const declaration& declared,
                             const std::string& name) {
  for (const auto& region : declared.regions) {
    if (region.name == name)
      return region.partition_count;
  }
  return 0;
}

// Returns the 64 bits of a digest that gossip carries.
std::uint64_t ShortDigest(const std::string& digest) {
  return XXH3_64bits(digest.data(), digest.size());
}

}  // namespace

void entry_node::Run(const std::stop_token& stop) {
  int ticks = 0;
  std::unique_lock guard(tick_lock_);
  while (!stop.stop_requested()) {
    guard.unlock();
    FastTick();
    if (ticks % kFastTicksPerSlow == 0 || members_changed_.exchange(false))
      SlowTick();
    if (ticks % (kFastTicksPerSlow * kSlowTicksPerConfirmation) == 0)
      RequestConfirmation();
    ++ticks;
    guard.lock();
    tick_wake_.wait_for(guard, stop, kFastTickInterval, [] { return false; });
  }
}

void entry_node::FastTick() {
  for (const auto& [name, gate] : gates_.All())
    gate->Tick();
}

void entry_node::SlowTick() {
  const auto present = state_.deployments.Get();
  std::vector<std::string> regions;
  if (present) {
    for (const auto& region : present->declared().regions)
      regions.push_back(region.name);
    state_.fresh = follower_.confirmed_age() <=
                   present->declared().limits.max_configuration_age;
  }
  fleet_.Refresh(membership_, regions);
  quarantine_.Tick();
  pool_.CloseRested();
  deployment_manager_.Tick();
  partition_distributor_.Tick();
  UpdateMembers();
  const bool watching = membership_.IsWatcher(kWatchers);
  follower_.SetWatching(watching);
  instances_.SetWatching(watching);
  const auto own_config = follower_.AdvertisedConfig();
  membership_.SetSelf({.config_version = own_config.version,
                       .watching = static_cast<std::uint8_t>(watching),
                       .loads = reporter_.Loads()},
                      ShortDigest(own_config.digest));
}

// Gossip reports newer versions, but not how recently a peer's own
// configuration was confirmed. Without this request each entry that isn't a
// watcher would have to ask the platform. One random peer is therefore asked
// every few seconds.
void entry_node::RequestConfirmation() {
  const auto peers = fleet_.OwnRegionPeers();
  if (peers.empty())
    return;
  static thread_local std::mt19937 random(std::random_device{}());
  const auto& peer = peers[std::uniform_int_distribution<std::size_t>(
      0, peers.size() - 1)(random)];
  if (const auto config = peer_caller_.QueryConfig(peer))
    follower_.OnPeerVersion(peer, config.value());
}

void entry_node::OnImage(const image_ptr& image) {
  deployment_manager_.OnImage(image);
  const auto present = state_.deployments.Get();
  partition_distributor_.Follow(present);
  partitions_.SetPartitions(
      PartitionCount(present->declared(), settings_.region),
      TakeoverDelay(present->declared()));
}

// Live members share the region's slot partitions unless they are leaving; all
// but this entry may lend their slots.
void entry_node::UpdateMembers() {
  std::vector<std::string> names;
  std::vector<member> others;
  for (const auto& each : membership_.members()) {
    if (each.state == member_state::kDead)
      continue;
    if (each.state != member_state::kLeaving)
      names.push_back(each.name);
    if (each.name != settings_.instance)
      others.push_back(each);
  }
  partitions_.SetMembers(names);
  for (const auto& [service, gate] : gates_.All()) {
    const auto id = ServiceId(service);
    std::vector<lender_digest> lenders;
    for (const auto& each : others) {
      for (const auto& load : each.digest.loads) {
        if (load.service_id == id)
          lenders.push_back({each.name, load.free_slots});
      }
    }
    gate->SetLenders(std::move(lenders));
  }
}

void entry_node::OnInstances(const std::vector<instance_info>& instances) {
  deployment_manager_.OnInstances(instances);
  std::vector<std::string> seeds;
  for (const auto& each : instances) {
    if (each.role == "entry" && each.state != instance_state::kGone)
      seeds.push_back(each.address);
  }
  membership_.AddSeeds(seeds);
}

void entry_node::OnPeerVersion(std::uint64_t version, const std::string& peer) {
  if (version <= follower_.AdvertisedConfig().version)
    return;
  follower_.OnPeerVersion(
      peer, {.version = version, .confirmed_age = std::chrono::hours(24)});
}

}  // namespace samphire
