#ifndef TRAFFIC_PLACING_MESSAGES_H_
#define TRAFFIC_PLACING_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "base/enum_names.h"
#include "routing/attempt_end.h"

namespace samphire {

inline constexpr std::size_t kMaxServiceName = 255;
inline constexpr std::size_t kMaxRouteName = 255;
inline constexpr std::size_t kMaxPlacingPlace = 64;
inline constexpr std::size_t kMaxTargetId = 128;
// Regions that a route may name as its homes, and attempts of one request; a
// request with more is placed where it arrived.
inline constexpr std::size_t kMaxHomes = 8;
inline constexpr std::size_t kMaxExcluded = 8;

template <std::size_t kCount, std::size_t kLength, typename Archive>
void SerializeNames(Archive& archive, std::vector<std::string>& names) {
  auto count = static_cast<std::uint8_t>(names.size());
  archive(count);
  if (count > kCount)
    throw cereal::Exception("more names than allowed");
  names.resize(count);
  for (auto& name : names)
    archive(Bounded<kLength>(name));
}

// kPlacingAsk: where is this attempt to go? Answered by kPlacingAnswer with the
// same id.
struct placing_ask {
  std::uint64_t id = 0;
  std::string service;
  std::string route;
  // Of the entry that asks.
  std::string failure_domain;
  std::uint64_t key_hash = 0;
  std::uint64_t body_bytes = 0;
  std::uint32_t objective_ms = 0;
  std::uint32_t time_left_ms = 0;
  std::vector<std::string> home_regions;
  std::vector<std::string> excluded;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, Bounded<kMaxServiceName>(service),
            Bounded<kMaxRouteName>(route),
            Bounded<kMaxPlacingPlace>(failure_domain), key_hash, body_bytes,
            objective_ms, time_left_ms);
    SerializeNames<kMaxHomes, kMaxPlacingPlace>(archive, home_regions);
    SerializeNames<kMaxExcluded, kMaxTargetId>(archive, excluded);
  }
};

enum class placing_verdict : std::uint8_t {
  kPlaced,
  kRefused,
  // The asker knows better: the owner has no targets yet, or the message is
  // large and is to stay in the asker's failure domain.
  kPlaceYourself,
};

struct placing_answer {
  std::uint64_t id = 0;
  placing_verdict verdict = placing_verdict::kPlaceYourself;
  // If placed.
  std::string target;
  std::uint8_t knows_key = 0;
  float load_before = 0;
  // Below 0: the target never told its load.
  std::int32_t load_age_ms = -1;
  // If refused.
  std::uint16_t reason = 0;
  std::uint32_t retry_after_ms = 0;
  std::uint32_t candidates = 0;
  std::uint32_t wait_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
    SerializeEnum<placing_verdict::kPlaceYourself>(archive, verdict);
    archive(Bounded<kMaxTargetId>(target), knows_key, load_before, load_age_ms,
            reason, retry_after_ms, candidates, wait_ms);
  }
};

// kPlacingEnd: the attempt that was placed under this id has ended, or was
// never made.
struct placing_end {
  std::uint64_t id = 0;
  std::string service;
  attempt_result result = attempt_result::kCallerGone;
  std::uint64_t took_us = 0;
  std::uint64_t body_bytes = 0;
  std::uint8_t reported = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, Bounded<kMaxServiceName>(service));
    SerializeEnum<attempt_result::kCallerGone>(archive, result);
    archive(took_us, body_bytes, reported, running, waiting, slots);
  }
};

}  // namespace samphire

#endif  // TRAFFIC_PLACING_MESSAGES_H_
