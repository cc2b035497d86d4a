// What an entry does again and again, and on news.

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <utility>

#include "base/log.h"
#include "gateway/entry_node.h"

namespace samphire {

namespace {

// Ramps, expiries and loans move in steps of milliseconds; four gates a tick
// cost some microseconds.
constexpr milliseconds kFastTick{5};
constexpr int kFastTicksPerSlow = 100;
constexpr int kSlowTicksPerConfirmation = 8;

// The watch is held by a few of each region; see distribution.
constexpr std::size_t kWatchers = kWatchersPerRegion;

// How long the loans and requests of a seat's owner before may go on.
duration SeatQuarantine(const declaration& declared) {
  milliseconds longest{0};
  for (const auto& service : declared.services) {
    for (const auto& each : service.classes)
      longest = std::max({longest, each.deadline, each.max_deadline});
  }
  const auto& limits = declared.limits;
  return limits.loan_ttl + limits.clock_drift + longest;
}

std::uint32_t SeatCount(const declaration& declared, const std::string& name) {
  for (const auto& region : declared.regions) {
    if (region.name == name)
      return region.seats;
  }
  return 0;
}

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
      AskConfirmation();
    ++ticks;
    guard.lock();
    tick_wake_.wait_for(guard, stop, kFastTick, [] { return false; });
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
  keeper_.Tick();
  shares_.Tick();
  FollowMembers();
  const bool watching = membership_.IsWatcher(kWatchers);
  follower_.SetWatching(watching);
  instances_.SetWatching(watching);
  const auto told = follower_.AdvertisedConfig();
  membership_.SetSelf({.config_version = told.version,
                       .watching = static_cast<std::uint8_t>(watching),
                       .loads = reporter_.Loads()},
                      ShortDigest(told.digest));
}

// Gossip tells of newer versions, but not how lately a peer had its own
// confirmed; without that, entries that don't watch would each ask the
// platform. So one peer is asked every few seconds.
void entry_node::AskConfirmation() {
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
  keeper_.OnImage(image);
  const auto present = state_.deployments.Get();
  shares_.Follow(present);
  seats_.SetPartitions(SeatCount(present->declared(), settings_.region),
                       SeatQuarantine(present->declared()));
}

// Who shares the region's seats and lends its slots.
void entry_node::FollowMembers() {
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
  seats_.SetMembers(names);
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
  keeper_.OnInstances(instances);
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
