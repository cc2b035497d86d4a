#ifndef DECISION_CRASH_NOTICE_H_
#define DECISION_CRASH_NOTICE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "decision/request_fingerprint.h"

namespace samphire {

// Upper bound on the name of a target in a crash_notice, in bytes.
inline constexpr std::size_t kMaxCrashedTargetBytes = 255;

// Message to the other entries: a target was lost while the request with this
// fingerprint ran on it.
struct crash_notice {
  request_fingerprint fingerprint = 0;
  std::string target;
  // Whether no other request ran on the target as far as the sending entry
  // knows, from its own attempts and from notices of other entries.
  bool alone = false;
  // How long the request had run there, in milliseconds.
  std::uint32_t ran_ms = 0;
  // How long ago the target was lost, in milliseconds.
  std::uint32_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, Bounded<kMaxCrashedTargetBytes>(target), alone, ran_ms,
            age_ms);
  }
};

}  // namespace samphire

#endif  // DECISION_CRASH_NOTICE_H_
