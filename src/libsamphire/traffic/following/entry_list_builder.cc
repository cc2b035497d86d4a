#include "traffic/following/entry_list_builder.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// The time for which the largest number of known entries determines each
// entry's share of a limit. An entry that is partitioned from others declares
// them failed after six seconds, although both sides keep serving callers. If
// each side divided a limit among the entries that it still sees, all sides
// together would exceed the limit several times over. No network partition seen
// so far lasted a minute; entries that are unreachable for longer have stopped.
constexpr milliseconds kPeakWindow{60'000};

listed_entry Listed(const member& each, listing_reason reason) {
  return {.name = each.name,
          .incarnation = each.incarnation,
          .caller_address = each.caller_address,
          .state = each.state,
          .reason = reason,
          .heard_at = each.heard_at};
}

}  // namespace

entry_list_builder::entry_list_builder(std::string self,
                                       milliseconds settle_time,
                                       std::size_t min_fleet_size,
                                       time_point started)
    : self_(std::move(self)),
      settled_at_(started + settle_time),
      started_(started),
      fleet_size_known_at_(settled_at_),
      retries_alone_at_(started),
      min_fleet_size_(min_fleet_size),
      fleet_sizes_(kPeakWindow),
      region_sizes_(kPeakWindow),
      unchanged_since_(started) {}

// An entry that restarts while it is cut off sees only part of the fleet until
// the cut ends.
void entry_list_builder::FollowEarlierProcess(milliseconds retry_window) {
  fleet_size_known_at_ = std::max(settled_at_, started_ + kPeakWindow);
  retries_alone_at_ = started_ + retry_window;
}

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
      list->bootstrap_addresses.push_back(each.peer_address);
    if (each.state != member_state::kAlive &&
        each.state != member_state::kSuspect)
      continue;
    if (self && leaving)
      continue;
    list->names.push_back(each.name);
    list->failure_domains.push_back(each.failure_domain);
    // An entry that has just started refuses callers until it has loaded a
    // configuration.
    // Naming an entry that is off costs callers a failed connection, and
    // leaving out one that serves costs them little, so look-ups leave out the
    // suspected long before membership gives them up.
    if (self && self_ready)
      list->listed.push_back(Listed(each, listing_reason::kSelf));
    else if (!self && each.state == member_state::kAlive &&
             each.digest.config_version > 0)
      list->listed.push_back(Listed(each, listing_reason::kReady));
    list->peer_addresses.push_back(each.peer_address);
  }
  // If no entry has announced a configuration yet, list all that run: any may
  // have loaded one since its last update. Callers of an empty list keep the
  // one that they have, or ask another entry.
  if (list->listed.empty()) {
    for (const auto& each : members) {
      const bool is_leaving = leaving && each.name == self_;
      if (each.state == member_state::kAlive && !is_leaving)
        list->listed.push_back(Listed(each, listing_reason::kNoneReady));
    }
  }
  list->is_alone = list->names.size() <= 1 && members.size() > 1;
  std::size_t size = list->names.size();
  for (const auto& region : regions) {
    size += region.digest.entries;
    for (const auto& contact : region.digest.contacts) {
      list->bootstrap_addresses.push_back(contact.peer_address);
      list->other_regions[region.digest.region].push_back(contact.peer_address);
    }
  }
  const auto peak = fleet_sizes_.Add(std::max(size, min_fleet_size_), now);
  list->fleet_peak = peak;
  list->region_peak = region_sizes_.Add(list->names.size(), now);
  if (list->names != previous_names_) {
    previous_names_ = list->names;
    unchanged_since_ = now;
  }
  list->unchanged_since = unchanged_since_;
  if (now >= settled_at_) {
    list->settled_region_members = list->names;
    list->settled_fleet_size = peak;
  }
  if (now >= fleet_size_known_at_)
    list->retries.entries = peak;
  list->retries.may_overlap = now < retries_alone_at_;
  return list;
}

}  // namespace samphire
