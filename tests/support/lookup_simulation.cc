#include "support/lookup_simulation.h"

#include <algorithm>

#include "support/simulated_entry_list.h"
#include "traffic/traffic_membership.h"

namespace samphire {

namespace {

constexpr const char* kRegion = "r";
constexpr milliseconds kSettleTime{5000};
// In this time entries that start together are ready and known to each other.
constexpr std::chrono::seconds kStartTime{40};

}  // namespace

lookup_simulation::lookup_simulation(std::uint64_t seed,
                                     milliseconds unlisting_time)
    : world(seed) {
  world.options = TrafficMembershipOptions(unlisting_time);
}

void lookup_simulation::StartRegion(int count) {
  for (const auto& name : RegionNames(0, count))
    Start(name);
  world.Run(std::chrono::seconds(1));
  for (const auto& name : RegionNames(0, count))
    MakeReady(name);
  world.Run(kStartTime);
}

void lookup_simulation::Start(const std::string& name) {
  world.Start(name, kRegion, RegionNames(0, 1).front(), ++incarnations_[name]);
  // The settings name three seeds.
  world.Core(name).AddSeeds(RegionNames(0, 3));
  states_[name] = {std::make_unique<entry_list_builder>(name, kSettleTime, 1,
                                                        world.network.now()),
                   false, false};
}

void lookup_simulation::MakeReady(const std::string& name) {
  states_.at(name).ready = true;
  member_digest digest;
  digest.config_version = 1;
  world.Core(name).SetSelf(digest, 0);
}

void lookup_simulation::Leave(const std::string& name) {
  states_.at(name).leaving = true;
  world.Core(name).AnnounceLeaving();
}

void lookup_simulation::Crash(const std::string& name) {
  world.Crash(name);
  states_.erase(name);
}

void lookup_simulation::Crash(const std::vector<std::string>& names) {
  for (const auto& name : names)
    Crash(name);
}

boost::intrusive_ptr<const entry_list> lookup_simulation::ListOf(
    const std::string& name) {
  auto& state = states_.at(name);
  return BuildEntryList(world.Core(name), *state.builder, world.network.now(),
                        state.ready && !state.leaving, state.leaving);
}

std::set<std::string> lookup_simulation::NamedBy(const std::string& name) {
  const auto list = ListOf(name);
  std::set<std::string> named;
  for (const auto& each : list->listed)
    named.insert(each.name);
  return named;
}

bool lookup_simulation::AnyNames(const std::vector<std::string>& names) {
  return std::ranges::any_of(world.Names(), [&](const auto& at) {
    const auto named = NamedBy(at);
    return std::ranges::any_of(
        names, [&named](const auto& name) { return named.contains(name); });
  });
}

bool lookup_simulation::AllName(const std::string& name) {
  return std::ranges::all_of(world.Names(), [&](const auto& at) {
    return NamedBy(at).contains(name);
  });
}

std::size_t lookup_simulation::CountShares(const std::string& name) {
  return ListOf(name)->names.size();
}

duration lookup_simulation::TimeUntilUnnamed(
    const std::vector<std::string>& names,
    duration limit) {
  return world.RunUntil([&] { return !AnyNames(names); }, limit);
}

duration lookup_simulation::TimeUntilNamed(const std::string& name,
                                           duration limit) {
  return world.RunUntil([&] { return AllName(name); }, limit);
}

std::vector<std::string> RegionNames(int first, int count) {
  std::vector<std::string> names;
  for (int i = first; i < first + count; ++i)
    names.push_back(std::string(kRegion) + "-" + std::to_string(i));
  return names;
}

}  // namespace samphire
