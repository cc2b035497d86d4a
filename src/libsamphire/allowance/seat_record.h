#ifndef ALLOWANCE_SEAT_RECORD_H_
#define ALLOWANCE_SEAT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace samphire {

// What `seat/REGION/NUMBER` holds.
struct seat_record {
  // The instance that owns the seat; empty: nobody.
  std::string holder;
  // A number that each process of an instance draws anew: it tells a claim of
  // its own, whose answer was lost, from its predecessor's.
  std::uint64_t incarnation = 0;
  // The owner before may still have work or loans running: whoever takes the
  // seat from this record waits them out.
  bool wait = false;
};

// Stands for the holder of a seat that can't be read.
inline constexpr std::string_view kUnreadableHolder = "?";

std::string WriteSeat(const seat_record& record);
// kStoreCorrupt if `text` is not a seat.
result<seat_record> ReadSeat(const std::string& text);

std::string SeatPrefix(const std::string& region);
std::string SeatKey(const std::string& region, std::uint32_t number);

}  // namespace samphire

#endif  // ALLOWANCE_SEAT_RECORD_H_
