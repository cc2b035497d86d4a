#ifndef ENTRY_OPERATOR_MEMBER_STATUS_H_
#define ENTRY_OPERATOR_MEMBER_STATUS_H_

#include <cstdint>
#include <string>

namespace samphire {

// A member as one entry knows it.
struct member_status {
  std::string name;
  std::string region;
  // "alive", "leaving", "suspect" or "dead".
  std::string state;
  std::uint64_t config_version = 0;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_MEMBER_STATUS_H_
