#include "membership/seed_list.h"

#include <algorithm>
#include <set>

namespace samphire {

namespace {

// Bounds the addresses that are kept. The instance list of the platform holds
// thousands of instances; some dozens suffice to find the others, and the
// newest are the most likely to be running.
constexpr std::size_t kMaxSeeds = 128;

}  // namespace

void seed_list::Add(const std::string& address) {
  if (std::ranges::find(addresses_, address) != addresses_.end())
    return;
  if (addresses_.size() >= kMaxSeeds)
    addresses_.erase(addresses_.begin());
  addresses_.push_back(address);
}

std::vector<std::string> seed_list::Next(const membership_table& table,
                                         std::size_t count) {
  std::set<std::string> up{table.self().peer_address};
  std::vector<std::string> candidates = addresses_;
  for (const auto& [name, known] : table.other_members()) {
    if (known.state == member_state::kDead)
      candidates.push_back(known.peer_address);
    else
      up.insert(known.peer_address);
  }
  std::erase_if(candidates,
                [&up](const auto& address) { return up.contains(address); });
  std::vector<std::string> picked;
  for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i)
    picked.push_back(candidates[next_++ % candidates.size()]);
  return picked;
}

}  // namespace samphire
