#include "membership/gossip_queue.h"

#include <algorithm>
#include <bit>
#include <vector>

namespace samphire {

namespace {

// News told this often for each doubling of the members reaches all of them
// with near certainty; what is missed the comparison of checksums finds.
constexpr int kTellsPerDoubling = 3;
constexpr int kLoadTells = 2;

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

void gossip_queue::AddRegion(const std::string& region, int repeats) {
  auto& left = regions_[region];
  left = std::max(left, repeats);
}

// The budget keeps a message's size, and so each node's bytes, the same
// however much there is to tell: in a large change news takes longer instead.
void gossip_queue::Fill(gossip_block& block,
                        const membership_table& table,
                        const region_directory& regions,
                        std::size_t budget) {
  FillMembers(block, table, budget);
  FillRegion(block, regions, budget);
  FillLoads(block, table, budget);
}

void gossip_queue::FillMembers(gossip_block& block,
                               const membership_table& table,
                               std::size_t& budget) {
  const auto limit =
      kTellsPerDoubling *
      static_cast<int>(std::bit_width(table.others().size() + 2));
  std::vector<std::pair<int, std::string>> order;
  order.reserve(members_.size());
  for (const auto& [name, news] : members_)
    order.emplace_back(news.told, name);
  std::ranges::sort(order);
  for (const auto& [told, name] : order) {
    auto& news = members_[name];
    const auto* known = table.Find(name);
    if (known == nullptr || told >= limit) {
      members_.erase(name);
      continue;
    }
    const auto rumour = RumourOf(*known);
    const auto size = news.in_full ? WireSize(*known) : WireSize(rumour);
    if (!Take(size, budget))
      break;
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
  const auto most = std::ranges::max_element(
      regions_, {}, [](const auto& entry) { return entry.second; });
  if (most == regions_.end())
    return;
  const auto* digest = regions.Find(most->first);
  if (digest != nullptr && !Take(WireSize(*digest), budget))
    return;
  if (digest != nullptr)
    block.regions.push_back(*digest);
  if (digest == nullptr || --most->second <= 0)
    regions_.erase(most);
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
