#ifndef MEMBERSHIP_MEMBER_H_
#define MEMBERSHIP_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

#include "base/bounded_codec.h"
#include "base/clock_source.h"
#include "membership/member_digest.h"
#include "membership/member_state.h"

namespace samphire {

// Bounds of the strings in a decoded member, in bytes.
inline constexpr std::size_t kMaxMemberNameBytes = 64;
inline constexpr std::size_t kMaxMemberLocationBytes = 64;
inline constexpr std::size_t kMaxAddressBytes = 64;

// One entry (a process of the fleet) as the other members of its region know
// it. Sent as a complete record when an entry joins or restarts. The order of
// the fields is the order on the wire.
struct member {
  // Name of the instance that the process runs on; unique in the fleet.
  std::string name;
  std::string region;
  std::string failure_domain;
  // Addresses (host and port) for callers, for operators and for peer messages.
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  // Identifies the process: higher than that of any earlier process on the same
  // instance.
  std::uint64_t incarnation = 0;
  // Number of suspicions that the process has refuted.
  std::uint32_t refutation = 0;
  member_state state = member_state::kAlive;
  member_digest digest;
  // When this entry last received a message of the process, or news that only
  // the process itself can have originated. Local, not sent.
  time_point heard_at;

  // Of two reports on a member, the one of higher rank supersedes the other.
  auto rank() const {
    return std::tuple(incarnation, refutation, Precedence(state));
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxMemberNameBytes>(name),
            Bounded<kMaxMemberLocationBytes>(region),
            Bounded<kMaxMemberLocationBytes>(failure_domain),
            Bounded<kMaxAddressBytes>(caller_address),
            Bounded<kMaxAddressBytes>(operator_address),
            Bounded<kMaxAddressBytes>(peer_address), incarnation, refutation);
    SerializeEnum<member_state::kDead>(archive, state);
    archive(digest);
  }
};

// Returns the encoded size of `record` in bytes.
std::size_t WireSize(const member& record);

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBER_H_
