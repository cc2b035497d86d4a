#ifndef DECISION_CRASH_NOTICE_H_
#define DECISION_CRASH_NOTICE_H_

#include <cstdint>
#include <string>

#include "decision/request_fingerprint.h"

namespace samphire {

// Message to the other entries of the region: a target was lost while the
// request with this fingerprint ran on it.
struct crash_notice {
  request_fingerprint fingerprint = 0;
  std::string target;
  // Whether no other request ran on the target as far as the sending entry
  // knows, from its own attempts and from notices of other entries.
  bool alone = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, target, alone);
  }
};

}  // namespace samphire

#endif  // DECISION_CRASH_NOTICE_H_
