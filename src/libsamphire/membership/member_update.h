#ifndef MEMBERSHIP_MEMBER_UPDATE_H_
#define MEMBERSHIP_MEMBER_UPDATE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "membership/member.h"

namespace samphire {

// A state change of a member whose complete record the receivers already have.
struct member_update {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint32_t refutation = 0;
  member_state state = member_state::kAlive;

  // The same order as member::rank().
  auto rank() const {
    return std::tuple(incarnation, refutation, Precedence(state));
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxMemberNameBytes>(name), incarnation, refutation);
    SerializeEnum<member_state::kDead>(archive, state);
  }
};

// Returns the current state of `known` as an update.
inline member_update UpdateOf(const member& known) {
  return {known.name, known.incarnation, known.refutation, known.state};
}

// Returns the encoded size of `update` in bytes.
inline std::size_t WireSize(const member_update& update) {
  constexpr std::size_t kFixed = 1 + 8 + 4 + 1;
  return kFixed + update.name.size();
}

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBER_UPDATE_H_
