#ifndef DECISION_PAUSED_REQUEST_H_
#define DECISION_PAUSED_REQUEST_H_

#include <cstdint>

#include "decision/request_fingerprint.h"

namespace samphire {

// A suspect that is refused until its next trial, as entries tell each other.
struct paused_request {
  request_fingerprint fingerprint = 0;
  // Time until the trial, in milliseconds.
  std::uint32_t remaining_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, remaining_ms);
  }
};

}  // namespace samphire

#endif  // DECISION_PAUSED_REQUEST_H_
