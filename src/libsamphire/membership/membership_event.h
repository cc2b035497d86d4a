#ifndef MEMBERSHIP_MEMBERSHIP_EVENT_H_
#define MEMBERSHIP_MEMBERSHIP_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "membership/member.h"

namespace samphire {

// A member of the own region joined, changed its state, restarted, or was
// declared dead.
struct member_changed {
  member now;
};

// A peer reports a newer configuration version in force than the own one. A
// digest of 0 means unknown.
struct peer_config_seen {
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
  // Address of the peer that has the configuration.
  std::string peer_address;
};

// A process that started later runs under this process's name, so this one has
// been replaced and must stop.
struct process_replaced {};

// What membership reports to the rest of the entry.
using membership_event =
    std::variant<member_changed, peer_config_seen, process_replaced>;

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_EVENT_H_
