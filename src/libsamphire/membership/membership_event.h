#ifndef MEMBERSHIP_MEMBERSHIP_EVENT_H_
#define MEMBERSHIP_MEMBERSHIP_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "membership/member.h"

namespace samphire {

// A member of the own region came, changed its state or process, or died.
struct member_changed {
  member now;
};

// A peer has this version in force. A digest of 0 is not known.
struct config_heard {
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
  std::string peer_address;
};

// Another process runs under this one's name, started later.
struct replaced {};

using membership_event = std::variant<member_changed, config_heard, replaced>;

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_EVENT_H_
