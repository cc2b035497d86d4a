#ifndef ENTRY_OPERATOR_MEMBER_STATUS_H_
#define ENTRY_OPERATOR_MEMBER_STATUS_H_

#include <cstdint>
#include <string>

namespace samphire {

// The status of one member of the fleet as known to the entry that responds.
struct member_status {
  std::string name;
  std::string region;
  // The membership state: "alive", "leaving", "suspect" or "dead".
  std::string state;
  // The configuration version that the member last advertised.
  std::uint64_t config_version = 0;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_MEMBER_STATUS_H_
