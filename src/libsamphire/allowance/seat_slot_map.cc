#include "allowance/seat_slot_map.h"

#include <xxhash.h>

namespace samphire {

// Slot `j` of a target belongs to seat (offset + j) modulo the seats, with an
// offset of the target's own. So a target that comes or goes moves no other
// target's slots: while a change is on its way, entries with the old and the
// new configuration agree on who owns what, and no slot is used twice.
// Dealing slots out over all targets in a row would be a little more even, but
// each change would move the slots of every target behind it.
std::uint32_t SlotsOfSeat(const std::string& service_name,
                          const target& one,
                          std::uint32_t seat,
                          std::uint32_t seats) {
  if (seats == 0 || seat >= seats)
    return 0;
  const auto key = service_name + '/' + one.name;
  const auto offset = XXH3_64bits(key.data(), key.size()) % seats;
  const auto position = (seat + seats - offset) % seats;
  return one.slots / seats + (position < one.slots % seats ? 1 : 0);
}

std::vector<std::uint32_t> SlotsOfSeats(const std::string& service_name,
                                        std::span<const target> targets,
                                        std::span<const std::uint32_t> owned,
                                        std::uint32_t seats) {
  std::vector<std::uint32_t> slots;
  slots.reserve(targets.size());
  for (const auto& one : targets) {
    std::uint32_t sum = 0;
    for (const auto seat : owned)
      sum += SlotsOfSeat(service_name, one, seat, seats);
    slots.push_back(sum);
  }
  return slots;
}

}  // namespace samphire
