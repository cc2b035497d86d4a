#ifndef ENTRY_OPERATOR_STATUS_RESPONSE_H_
#define ENTRY_OPERATOR_STATUS_RESPONSE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "entry/operator/member_status.h"

namespace samphire {

// One entry's view of itself and of the fleet.
struct status_response {
  std::string instance;
  std::string region;
  // The configuration version that this entry uses.
  std::uint64_t config_version = 0;
  // Time since the platform or a peer last confirmed that version.
  milliseconds config_age{0};
  std::vector<member_status> members;
  // Further state such as allowances and ledger shards: the text of one JSON
  // object, or empty.
  std::string details;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_STATUS_RESPONSE_H_
