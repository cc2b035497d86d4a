#ifndef DECISION_SHIFT_SHARE_H_
#define DECISION_SHIFT_SHARE_H_

#include <cstdint>
#include <vector>

namespace samphire {

// Which of its region's seats this entry holds; caps are split by seat.
struct shift_share {
  std::vector<std::uint32_t> seats;
  std::uint32_t seat_count = 0;
};

}  // namespace samphire

#endif  // DECISION_SHIFT_SHARE_H_
