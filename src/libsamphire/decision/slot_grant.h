#ifndef DECISION_SLOT_GRANT_H_
#define DECISION_SLOT_GRANT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace samphire {

// Permission to run one request on one target now. The slot is released by
// service_dispatcher::Finish.
struct slot_grant {
  // Unique per dispatcher.
  std::uint64_t grant_id = 0;
  std::uint64_t request_id = 0;
  std::string target;
  std::string address;
  std::string failure_domain;
  // Whether the target is ejected and this request probes whether it has
  // recovered.
  bool probe = false;
  // The loan to which the slot belongs, if it is a borrowed one.
  std::optional<std::uint64_t> loan_id;
};

}  // namespace samphire

#endif  // DECISION_SLOT_GRANT_H_
