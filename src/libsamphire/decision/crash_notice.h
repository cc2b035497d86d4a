#ifndef DECISION_CRASH_NOTICE_H_
#define DECISION_CRASH_NOTICE_H_

#include <cstdint>
#include <string>

#include "decision/request_fingerprint.h"

namespace samphire {

// Tells the other entries that a target was lost while this request ran there.
struct crash_notice {
  request_fingerprint fingerprint = 0;
  std::string target;
  // Whether nothing else of this entry ran on the target.
  bool alone = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, target, alone);
  }
};

}  // namespace samphire

#endif  // DECISION_CRASH_NOTICE_H_
