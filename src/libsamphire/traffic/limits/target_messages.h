#ifndef TRAFFIC_LIMITS_TARGET_MESSAGES_H_
#define TRAFFIC_LIMITS_TARGET_MESSAGES_H_

#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "traffic/limits/permit_messages.h"
#include "traffic/placing/placement_messages.h"

namespace samphire {

// What the sender knows of a target's rate limit.
struct target_limit_news {
  // 1 if the target has a limit, else 0.
  std::uint8_t limited = 0;
  // Requests per second.
  double rate = 0;
  // Time since the target said so.
  std::uint32_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(limited, rate, age_ms);
  }
};

// kTargetPermitRequest: requests a permit to send one request to a target.
// Answered by kTargetPermitResponse with the same id.
struct target_permit_request {
  // Unique among the requests of the asking process.
  std::uint64_t id = 0;
  std::string target;
  target_limit_news limit;
  // 1 if the receiver must decide itself, else 0: a receiver that is not the
  // owner of the target's permits then forwards the request to the owner.
  // Entries that disagree about the owner would otherwise pass it back and
  // forth.
  std::uint8_t is_final = 0;
  // Peer address of the asking entry if the request was forwarded, else empty.
  std::string reply_to;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, Bounded<kMaxTargetIdBytes>(target), limit, is_final,
            Bounded<kMaxPermitLocationBytes>(reply_to));
  }
};

enum class target_permit_verdict : std::uint8_t {
  kGranted,
  kRefused,
  // The target has no limit any more.
  kUnlimited,
};

// kTargetPermitResponse: the decision on a target_permit_request.
struct target_permit_response {
  // The id of the request.
  std::uint64_t id = 0;
  std::string target;
  target_permit_verdict verdict = target_permit_verdict::kRefused;
  // The time after which to ask again, if refused.
  std::uint32_t retry_after_ms = 0;
  // The time since the target ended its limit, if unlimited.
  std::uint32_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, Bounded<kMaxTargetIdBytes>(target));
    SerializeEnum<target_permit_verdict::kUnlimited>(archive, verdict);
    archive(retry_after_ms, age_ms);
  }
};

// kTargetNews: tells what a target has said in a response to the sender or to
// the entry that the sender relays for. Not acknowledged: an entry that misses
// it hears it from the target itself.
struct target_news {
  std::string target;
  std::string service;
  // As in live_target.
  std::int64_t started_ms = 0;
  // 1 if the target leaves; `limit` then says nothing.
  std::uint8_t leaving = 0;
  target_limit_news limit;
  // 1 if the receiver is to pass the news on to the other entries of its
  // region, else 0.
  std::uint8_t relay = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxTargetIdBytes>(target),
            Bounded<kMaxServiceNameBytes>(service), started_ms, leaving, limit,
            relay);
  }
};

}  // namespace samphire

#endif  // TRAFFIC_LIMITS_TARGET_MESSAGES_H_
