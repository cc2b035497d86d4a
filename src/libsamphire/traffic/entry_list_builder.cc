#include "traffic/entry_list_builder.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// An entry that is cut off from others takes them for dead after six seconds.
// They go on serving, and so does it: with shares by the entries that each
// sees, all parts together would use a bound several times over. A minute is
// longer than any cut that was met; what is silent for longer is gone.
constexpr milliseconds kFleetMemory{60'000};

}  // namespace

entry_list_builder::entry_list_builder(std::string self,
                                       milliseconds settle_time,
                                       std::size_t least_fleet,
                                       time_point started)
    : self_(std::move(self)),
      settled_at_(started + settle_time),
      least_fleet_(least_fleet),
      fleet_sizes_(kFleetMemory),
      region_sizes_(kFleetMemory),
      unchanged_since_(started) {}

boost::intrusive_ptr<const entry_list> entry_list_builder::Build(
    const std::vector<member>& members,
    const std::vector<region_view>& regions,
    bool self_ready,
    bool leaving,
    time_point now) {
  boost::intrusive_ptr<entry_list> list(new entry_list);
  for (const auto& each : members) {
    const bool self = each.name == self_;
    if (!self && each.state != member_state::kDead)
      list->helper_addresses.push_back(each.peer_address);
    if (each.state != member_state::kAlive &&
        each.state != member_state::kSuspect)
      continue;
    if (self && leaving)
      continue;
    list->names.push_back(each.name);
    list->failure_domains.push_back(each.failure_domain);
    // One that has just started refuses callers until it has a configuration.
    if (self ? self_ready : each.digest.config_version > 0)
      list->caller_addresses.push_back(each.caller_address);
    list->peer_addresses.push_back(each.peer_address);
  }
  // Where none says that it has one, any may by now.
  if (list->caller_addresses.empty()) {
    for (const auto& each : members)
      list->caller_addresses.push_back(each.caller_address);
  }
  std::size_t size = list->names.size();
  for (const auto& region : regions) {
    size += region.digest.entries;
    for (const auto& contact : region.digest.contacts) {
      list->helper_addresses.push_back(contact.peer_address);
      list->other_regions[region.digest.region].push_back(contact.peer_address);
    }
  }
  const auto peak = fleet_sizes_.Add(std::max(size, least_fleet_), now);
  list->fleet_peak = peak;
  list->region_peak = region_sizes_.Add(list->names.size(), now);
  if (list->names != previous_names_) {
    previous_names_ = list->names;
    unchanged_since_ = now;
  }
  list->unchanged_since = unchanged_since_;
  if (now >= settled_at_) {
    list->region_sharers = list->names;
    list->fleet_sharers = peak;
  }
  return list;
}

}  // namespace samphire
