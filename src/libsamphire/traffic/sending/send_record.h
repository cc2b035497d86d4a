#ifndef TRAFFIC_SENDING_SEND_RECORD_H_
#define TRAFFIC_SENDING_SEND_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/enum_names.h"
#include "store/store_cursor.h"
#include "traffic/following/position_record.h"

namespace samphire {

// The way on which one send of a request leaves this entry.
enum class send_way {
  // To the target.
  kDirect,
  // To another entry, which connects to the target.
  kThroughEntry,
  // To the target, for another entry that asked for it.
  kForEntry,
};

inline constexpr enum_names<send_way, 3> kSendWayNames{{
    {send_way::kDirect, "direct"},
    {send_way::kThroughEntry, "through-entry"},
    {send_way::kForEntry, "for-entry"},
}};

// One send of a request: where it went, and how much of its body.
struct send_record {
  send_way way = send_way::kDirect;
  // Address of the target or entry that got the bytes.
  std::string receiver;
  // Position of the listing by which the target counted as open.
  store_cursor listing;
  // Position of the evacuations by which it did, and when that was confirmed.
  position_status evacuations;
  // Bytes of the body that were written to the connection.
  std::uint64_t body_sent = 0;
  // Bytes of the whole body; nothing if its caller declared no length and its
  // end was not read.
  std::optional<std::uint64_t> body_bytes;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_SEND_RECORD_H_
