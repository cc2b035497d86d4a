#include "membership/gossip_queue.h"

#include <algorithm>
#include <bit>
#include <vector>

namespace samphire {

namespace {

// For each doubling of the members. A rumour told this often reaches all with
// near certainty, before the time of a suspicion is over. A record is five
// times as long and not as urgent: what is missed the checksums find.
constexpr int kRumourTells = 3;
constexpr int kRecordTells = 1;
constexpr int kLoadTells = 2;
// A changed region has to reach everyone. A refreshed one is passed on twice,
// the least by which news still spreads.
constexpr int kRegionChangeTells = 4;
constexpr int kRegionRefreshTells = 2;

bool Take(std::size_t size, std::size_t& budget) {
  if (size > budget)
    return false;
  budget -= size;
  return true;
}

}  // namespace

void gossip_queue::AddMember(const std::string& name, bool in_full) {
  auto& news = members_[name];
  news.in_full = in_full || (news.in_full && news.told == 0);
  news.told = 0;
}

void gossip_queue::AddRegion(const std::string& region, bool changed) {
  auto& news = regions_[region];
  const auto tells = changed ? kRegionChangeTells : kRegionRefreshTells;
  news.left = std::max(news.left, tells);
  news.changed = news.changed || changed;
}

// The budget keeps a message's size, and so each node's bytes, the same
// however much there is to tell: in a large change news takes longer instead.
void gossip_queue::Fill(gossip_block& block,
                        const membership_table& table,
                        const region_directory& regions,
                        std::size_t budget) {
  // In every other message a region goes first: it takes most of one, and
  // after many members have come at once it would wait for minutes otherwise.
  region_turn_ = !region_turn_;
  if (region_turn_)
    FillRegion(block, regions, budget);
  FillMembers(block, table, budget);
  FillLoads(block, table, budget);
}

void gossip_queue::FillMembers(gossip_block& block,
                               const membership_table& table,
                               std::size_t& budget) {
  const auto doublings =
      static_cast<int>(std::bit_width(table.others().size() + 2));
  std::vector<std::pair<int, std::string>> order;
  order.reserve(members_.size());
  for (const auto& [name, news] : members_)
    order.emplace_back(news.told, name);
  std::ranges::sort(order);
  for (const auto& [told, name] : order) {
    auto& news = members_[name];
    const auto* known = table.Find(name);
    const auto limit = doublings * (news.in_full ? kRecordTells : kRumourTells);
    if (known == nullptr || told >= limit) {
      members_.erase(name);
      continue;
    }
    const auto rumour = RumourOf(*known);
    const auto size = news.in_full ? WireSize(*known) : WireSize(rumour);
    if (!Take(size, budget))
      continue;
    ++news.told;
    if (news.in_full)
      block.records.push_back(*known);
    else
      block.rumours.push_back(rumour);
  }
}

void gossip_queue::FillRegion(gossip_block& block,
                              const region_directory& regions,
                              std::size_t& budget) {
  const auto next = NextRegion();
  if (next == regions_.end())
    return;
  auto& news = next->second;
  const auto* digest = regions.Find(next->first);
  if (digest == nullptr) {
    regions_.erase(next);
    return;
  }
  if (!Take(WireSize(*digest), budget))
    return;
  block.regions.push_back(*digest);
  region_cursor_ = next->first;
  if (--news.left <= 0)
    regions_.erase(next);
}

// The next one round by name, and one that changed before any other.
gossip_queue::region_news_map::iterator gossip_queue::NextRegion() {
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
  const auto& others = table.others();
  auto next = others.upper_bound(load_cursor_);
  for (std::size_t i = 0; i < others.size(); ++i) {
    if (next == others.end())
      next = others.begin();
    const auto& [name, known] = *next;
    ++next;
    if (known.state == member_state::kDead || known.digest.sequence == 0)
      continue;
    auto& news = loads_[name];
    if (news.sequence != known.digest.sequence)
      news = {known.digest.sequence, 0};
    if (news.told >= kLoadTells)
      continue;
    if (block.digests.size() >= kMaxGossipItems ||
        !Take(WireSize(known.digest), budget)) {
      break;
    }
    ++news.told;
    load_cursor_ = name;
    block.digests.push_back(known.digest);
  }
  if (loads_.size() > 2 * others.size() + 2) {
    std::erase_if(loads_, [&others](const auto& entry) {
      return !others.contains(entry.first);
    });
  }
}

}  // namespace samphire
