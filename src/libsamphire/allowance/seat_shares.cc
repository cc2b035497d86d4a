#include "allowance/seat_shares.h"

#include <xxhash.h>

#include <algorithm>

namespace samphire {

namespace {

std::uint64_t Weight(std::uint32_t seat, const std::string& member) {
  return XXH3_64bits_withSeed(member.data(), member.size(), seat);
}

}  // namespace

seat_shares::seat_shares(const seat_views& seats,
                         std::uint32_t count,
                         const std::set<std::string>& members) {
  const auto entries = static_cast<std::uint32_t>(members.size());
  least_ = entries == 0 ? 0 : count / entries;
  most_ = entries == 0 ? 0 : (count + entries - 1) / entries;
  for (const auto& member : members)
    held_[member] = 0;
  for (std::uint32_t number = 0; number < count; ++number) {
    const auto seat = seats.find(number);
    if (seat == seats.end() || seat->second.record.holder.empty())
      ++vacant_;
    else if (const auto found = held_.find(seat->second.record.holder);
             found != held_.end())
      ++found->second;
  }
  for (const auto& [name, held] : held_)
    someone_lacks_ = someone_lacks_ || held < least_;
}

std::uint32_t seat_shares::HeldBy(const std::string& member) const {
  const auto found = held_.find(member);
  return found == held_.end() ? 0 : found->second;
}

// Only the one that holds most gives up a seat, and only while none is vacant:
// were all that hold more than the least to do so, an entry that joins would
// have seats thrown at it, and their slots would stand idle meanwhile.
bool seat_shares::ShouldRelease(const std::string& member) const {
  const auto mine = HeldBy(member);
  if (vacant_ > 0 || mine <= least_)
    return false;
  for (const auto& [name, count] : held_) {
    if (count > mine || (count == mine && name < member))
      return false;
  }
  return someone_lacks_ || mine > most_;
}

bool seat_shares::MayRelease(const std::string& member) const {
  return someone_lacks_ && HeldBy(member) > least_;
}

// Rendezvous: each vacant seat has its own order of candidates, so that they
// don't all write the same seat at once and learn of each other by conflicts.
std::uint32_t seat_shares::RankFor(std::uint32_t seat,
                                   const std::string& member) const {
  const auto mine = Weight(seat, member);
  return static_cast<std::uint32_t>(
      std::count_if(held_.begin(), held_.end(), [&](const auto& other) {
        return other.first != member && other.second < most_ &&
               Weight(seat, other.first) > mine;
      }));
}

}  // namespace samphire
