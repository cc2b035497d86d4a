#ifndef ALLOWANCE_SEAT_SLOT_MAP_H_
#define ALLOWANCE_SEAT_SLOT_MAP_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "config/service.h"

namespace samphire {

// How many of the target's slots belong to seat `seat` of `seats`. Summed over
// all seats it is exactly the target's slots.
std::uint32_t SlotsOfSeat(const std::string& service_name,
                          const target& one,
                          std::uint32_t seat,
                          std::uint32_t seats);

// For each of `targets` how many of its slots the owner of the seats `owned`
// may use.
std::vector<std::uint32_t> SlotsOfSeats(const std::string& service_name,
                                        std::span<const target> targets,
                                        std::span<const std::uint32_t> owned,
                                        std::uint32_t seats);

}  // namespace samphire

#endif  // ALLOWANCE_SEAT_SLOT_MAP_H_
