#ifndef MEMBERSHIP_MEMBER_RUMOUR_H_
#define MEMBERSHIP_MEMBER_RUMOUR_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "membership/member.h"

namespace samphire {

// News of a member that others know already.
struct member_rumour {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint32_t refutation = 0;
  member_state state = member_state::kAlive;

  auto rank() const { return std::tuple(incarnation, refutation, state); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxMemberName>(name), incarnation, refutation);
    SerializeEnum<member_state::kDead>(archive, state);
  }
};

inline member_rumour RumourOf(const member& known) {
  return {known.name, known.incarnation, known.refutation, known.state};
}

inline std::size_t WireSize(const member_rumour& rumour) {
  constexpr std::size_t kFixed = 1 + 8 + 4 + 1;
  return kFixed + rumour.name.size();
}

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBER_RUMOUR_H_
