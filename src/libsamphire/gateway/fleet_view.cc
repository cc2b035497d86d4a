#include "gateway/fleet_view.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <utility>

namespace samphire {

namespace {

live_entry LiveEntryOf(const member& each) {
  return {.name = each.name,
          .caller_address = each.caller_address,
          .region = each.region,
          .leaving = each.state == member_state::kLeaving};
}

// A suspected member may merely be slow, and is still asked by peers. A look-up
// that names it would cost each of its callers a failed connection if it is
// off; leaving it out for a moment costs little if it is not.
bool MayBeNamed(const member& each) {
  return each.state == member_state::kAlive ||
         each.state == member_state::kLeaving;
}

}  // namespace

fleet_view::fleet_view(std::string own_region, node_state& state)
    : own_region_(std::move(own_region)), state_(state) {}

void fleet_view::Refresh(const membership_service& membership,
                         const std::vector<std::string>& regions) {
  boost::intrusive_ptr<snapshot> next(new snapshot);
  std::vector<live_entry> lookup_entries;
  bool first = true;
  for (const auto& each : membership.members()) {
    const bool self = std::exchange(first, false);
    if (each.state == member_state::kDead)
      continue;
    if (!self)
      next->own_addresses[each.name] = each.peer_address;
    if (!MayBeNamed(each))
      continue;
    lookup_entries.push_back(LiveEntryOf(each));
    if (self && state_.leaving)
      lookup_entries.back().leaving = true;
  }
  for (const auto& region : regions) {
    if (region == own_region_)
      continue;
    for (const auto& contact : membership.EntriesOf(region)) {
      next->regions[region].entries.push_back(
          {contact.name, contact.peer_address});
      lookup_entries.push_back({.name = contact.name,
                                .caller_address = contact.caller_address,
                                .region = region});
    }
  }
  for (const auto& seen : membership.regions())
    next->regions[seen.digest.region].free_slots = seen.digest.free_slots;
  snapshot_.Replace(next);
  state_.entries.Replace(new entry_directory(lookup_entries));
}

std::vector<peer_entry> fleet_view::EntriesIn(const std::string& region) {
  const auto present = snapshot_.Get();
  if (!present)
    return {};
  const auto found = present->regions.find(region);
  return found == present->regions.end() ? std::vector<peer_entry>()
                                         : found->second.entries;
}

bool fleet_view::HasFreeSlots(const std::string& region,
                              const std::string& /*service*/) {
  const auto present = snapshot_.Get();
  if (!present)
    return false;
  const auto found = present->regions.find(region);
  return found != present->regions.end() && found->second.free_slots > 0;
}

std::string fleet_view::AddressOf(const std::string& name) const {
  const auto present = snapshot_.Get();
  if (!present)
    return {};
  const auto found = present->own_addresses.find(name);
  return found == present->own_addresses.end() ? std::string() : found->second;
}

std::vector<std::string> fleet_view::OwnRegionPeers() const {
  std::vector<std::string> addresses;
  const auto present = snapshot_.Get();
  if (!present)
    return addresses;
  for (const auto& [name, address] : present->own_addresses)
    addresses.push_back(address);
  return addresses;
}

news_peers fleet_view::NewsPeers() const {
  news_peers peers{.region = OwnRegionPeers(), .relays = {}};
  const auto present = snapshot_.Get();
  if (!present)
    return peers;
  for (const auto& [name, part] : present->regions) {
    if (!part.entries.empty())
      peers.relays.push_back(part.entries.front().peer_address);
  }
  return peers;
}

}  // namespace samphire
