#ifndef ENTRY_OPERATOR_STATUS_ANSWER_H_
#define ENTRY_OPERATOR_STATUS_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "entry/operator/member_status.h"

namespace samphire {

// One entry's view of itself and the fleet.
struct status_answer {
  std::string instance;
  std::string region;
  std::uint64_t config_version = 0;
  // Since the platform or a peer last confirmed that version.
  milliseconds config_age{0};
  std::vector<member_status> members;
  // Allowances, ledger shards and whatever else the entry shows: the text of
  // one JSON object, or empty.
  std::string details;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_STATUS_ANSWER_H_
