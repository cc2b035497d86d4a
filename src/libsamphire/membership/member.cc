#include "membership/member.h"

namespace samphire {

std::size_t WireSize(const member& record) {
  // Length bytes of the strings, then incarnation, refutation and state.
  constexpr std::size_t kFixed = 6 + 8 + 4 + 1;
  return kFixed + record.name.size() + record.region.size() +
         record.failure_domain.size() + record.caller_address.size() +
         record.operator_address.size() + record.peer_address.size() +
         WireSize(record.digest);
}

}  // namespace samphire
