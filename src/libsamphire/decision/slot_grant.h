#ifndef DECISION_SLOT_GRANT_H_
#define DECISION_SLOT_GRANT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace samphire {

// The right to run one request on one target now; given back by Finish.
struct slot_grant {
  std::uint64_t grant_id = 0;
  std::uint64_t request_id = 0;
  std::string target;
  std::string address;
  std::string failure_domain;
  // The target was ejected, and this request tells whether it is back.
  bool probe = false;
  // The loan whose slot this is, if it is a borrowed one.
  std::optional<std::uint64_t> loan_id;
};

}  // namespace samphire

#endif  // DECISION_SLOT_GRANT_H_
