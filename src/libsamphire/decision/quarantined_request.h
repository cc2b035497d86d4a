#ifndef DECISION_QUARANTINED_REQUEST_H_
#define DECISION_QUARANTINED_REQUEST_H_

#include <cstdint>

#include "decision/request_fingerprint.h"

namespace samphire {

// A request in quarantine, as entries tell each other.
struct quarantined_request {
  request_fingerprint fingerprint = 0;
  // Time until the quarantine ends, in whole seconds, rounded down. Rounded up,
  // entries that tell each other would prolong it without end.
  std::uint32_t remaining_s = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, remaining_s);
  }
};

}  // namespace samphire

#endif  // DECISION_QUARANTINED_REQUEST_H_
