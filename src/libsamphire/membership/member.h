#ifndef MEMBERSHIP_MEMBER_H_
#define MEMBERSHIP_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

#include "base/bounded_codec.h"
#include "membership/member_digest.h"
#include "membership/member_state.h"

namespace samphire {

inline constexpr std::size_t kMaxMemberName = 64;
inline constexpr std::size_t kMaxPlaceName = 64;
inline constexpr std::size_t kMaxAddress = 64;

// One entry as others know it.
struct member {
  std::string name;
  std::string region;
  std::string failure_domain;
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  // Of the process: higher than that of any earlier one on the instance.
  std::uint64_t incarnation = 0;
  // How often the process has contradicted a suspicion.
  std::uint32_t refutation = 0;
  member_state state = member_state::kAlive;
  member_digest digest;

  // What is known of a process supersedes whatever is lower in this order.
  auto rank() const { return std::tuple(incarnation, refutation, state); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxMemberName>(name), Bounded<kMaxPlaceName>(region),
            Bounded<kMaxPlaceName>(failure_domain),
            Bounded<kMaxAddress>(caller_address),
            Bounded<kMaxAddress>(operator_address),
            Bounded<kMaxAddress>(peer_address), incarnation, refutation);
    SerializeEnum<member_state::kDead>(archive, state);
    archive(digest);
  }
};

std::size_t WireSize(const member& record);

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBER_H_
