#ifndef ALLOWANCE_SEAT_SHARES_H_
#define ALLOWANCE_SEAT_SHARES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "allowance/seat_view.h"

namespace samphire {

// How a region's seats are spread over its members.
class seat_shares {
 public:
  seat_shares(const seat_views& seats,
              std::uint32_t count,
              const std::set<std::string>& members);

  // An even share: between `least` and `most` seats.
  std::uint32_t least() const { return least_; }
  std::uint32_t most() const { return most_; }
  std::uint32_t HeldBy(const std::string& member) const;

  // Whether `member` is the one that should give up a seat now, so that one
  // with less than an even share gets it.
  bool ShouldRelease(const std::string& member) const;

  // Whether `member` may have to give up a seat before long: it has more than
  // the least, and somebody has less.
  bool MayRelease(const std::string& member) const;

  // How many members with room for one more come before `member` for this
  // seat.
  std::uint32_t RankFor(std::uint32_t seat, const std::string& member) const;

 private:
  std::uint32_t least_ = 0;
  std::uint32_t most_ = 0;
  std::uint32_t vacant_ = 0;
  bool someone_lacks_ = false;
  std::map<std::string, std::uint32_t> held_;
};

}  // namespace samphire

#endif  // ALLOWANCE_SEAT_SHARES_H_
