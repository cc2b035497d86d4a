#include "membership/gossip_queue.h"

#include <algorithm>
#include <bit>
#include <vector>

namespace samphire {

namespace {

// Sends per doubling of the number of members. An update sent this often
// reaches all members with near certainty before a suspicion times out. A
// record is five times as long and less urgent: members that miss it are found
// by the comparison of checksums.
constexpr int kUpdateSendsPerDoubling = 3;
constexpr int kRecordSendsPerDoubling = 1;
// Sends of one load digest of a member, whatever the number of members.
constexpr int kLoadSends = 2;
// Sends of one region digest. A changed region has to reach every member. A
// refreshed one is forwarded twice, which is the minimum at which gossip still
// spreads.
constexpr int kRegionChangeSends = 4;
constexpr int kRegionRefreshSends = 2;

bool TakeFromBudget(std::size_t size, std::size_t& budget) {
  if (size > budget)
    return false;
  budget -= size;
  return true;
}

}  // namespace

void gossip_queue::AddMember(const std::string& name, bool full_record) {
  auto& queued = members_[name];
  queued.full_record =
      full_record || (queued.full_record && queued.send_count == 0);
  queued.send_count = 0;
}

void gossip_queue::AddRegion(const std::string& region, bool changed) {
  auto& queued = regions_[region];
  const auto sends = changed ? kRegionChangeSends : kRegionRefreshSends;
  queued.sends_left = std::max(queued.sends_left, sends);
  queued.changed = queued.changed || changed;
}

// The budget keeps the size of a message, and so the bytes that each node
// sends, independent of the number of queued updates: after a large change,
// updates take longer to spread instead.
void gossip_queue::Fill(gossip_block& block,
                        const membership_table& table,
                        const region_directory& regions,
                        std::size_t budget) {
  // A region comes first in every other message. It takes up most of the
  // budget, and after many members have joined at once it would otherwise wait
  // for minutes behind their records.
  region_first_ = !region_first_;
  if (region_first_)
    FillRegion(block, regions, budget);
  FillMembers(block, table, budget);
  FillLoads(block, table, budget);
}

void gossip_queue::FillMembers(gossip_block& block,
                               const membership_table& table,
                               std::size_t& budget) {
  const auto doublings =
      static_cast<int>(std::bit_width(table.other_members().size() + 2));
  std::vector<std::pair<int, std::string>> by_send_count;
  by_send_count.reserve(members_.size());
  for (const auto& [name, queued] : members_)
    by_send_count.emplace_back(queued.send_count, name);
  std::ranges::sort(by_send_count);
  for (const auto& [send_count, name] : by_send_count) {
    auto& queued = members_[name];
    const auto* known = table.Find(name);
    const auto limit =
        doublings * (queued.full_record ? kRecordSendsPerDoubling
                                        : kUpdateSendsPerDoubling);
    if (known == nullptr || send_count >= limit) {
      members_.erase(name);
      continue;
    }
    const auto update = UpdateOf(*known);
    const auto size = queued.full_record ? WireSize(*known) : WireSize(update);
    if (!TakeFromBudget(size, budget))
      continue;
    ++queued.send_count;
    if (queued.full_record)
      block.records.push_back(*known);
    else
      block.updates.push_back(update);
  }
}

void gossip_queue::FillRegion(gossip_block& block,
                              const region_directory& regions,
                              std::size_t& budget) {
  const auto next = NextRegion();
  if (next == regions_.end())
    return;
  auto& queued = next->second;
  const auto* digest = regions.Find(next->first);
  if (digest == nullptr) {
    regions_.erase(next);
    return;
  }
  if (!TakeFromBudget(WireSize(*digest), budget))
    return;
  block.regions.push_back(*digest);
  region_cursor_ = next->first;
  if (--queued.sends_left <= 0)
    regions_.erase(next);
}

// Returns the next region by name, in rotation; a changed region goes before
// all refreshed ones.
gossip_queue::queued_region_map::iterator gossip_queue::NextRegion() {
  auto found = regions_.end();
  auto it = regions_.upper_bound(region_cursor_);
  for (std::size_t i = 0; i < regions_.size(); ++i, ++it) {
    if (it == regions_.end())
      it = regions_.begin();
    if (it->second.changed)
      return it;
    if (found == regions_.end())
      found = it;
  }
  return found;
}

void gossip_queue::FillLoads(gossip_block& block,
                             const membership_table& table,
                             std::size_t& budget) {
  const auto& other_members = table.other_members();
  auto next = other_members.upper_bound(load_cursor_);
  for (std::size_t i = 0; i < other_members.size(); ++i) {
    if (next == other_members.end())
      next = other_members.begin();
    const auto& [name, known] = *next;
    ++next;
    if (known.state == member_state::kDead || known.digest.sequence == 0)
      continue;
    auto& queued = loads_[name];
    if (queued.sequence != known.digest.sequence)
      queued = {known.digest.sequence, 0};
    if (queued.send_count >= kLoadSends)
      continue;
    if (block.digests.size() >= kMaxGossipItems ||
        !TakeFromBudget(WireSize(known.digest), budget)) {
      break;
    }
    ++queued.send_count;
    load_cursor_ = name;
    block.digests.push_back(known.digest);
  }
  if (loads_.size() > 2 * other_members.size() + 2) {
    std::erase_if(loads_, [&other_members](const auto& entry) {
      return !other_members.contains(entry.first);
    });
  }
}

}  // namespace samphire
