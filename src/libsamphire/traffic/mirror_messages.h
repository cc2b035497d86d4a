#ifndef TRAFFIC_MIRROR_MESSAGES_H_
#define TRAFFIC_MIRROR_MESSAGES_H_

#include <cereal/types/string.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/bounded_codec.h"
#include "store/watch_batch.h"

namespace samphire {

// Where an entry hands its copy of the platform's objects on.
inline const std::string kMirrorPath = "/v1/peer/mirror";

// Keys and values are bounded as the platform bounds them; a listing of all
// targets of the largest fleet has room.
inline constexpr std::size_t kMaxMirrorKey = 1024;
inline constexpr std::size_t kMaxMirrorValue = 2U << 20U;
inline constexpr std::size_t kMaxMirrorEvents = 200'000;

// What changed under this prefix since the cursor? -> watch_batch
struct mirror_ask {
  std::string prefix;
  std::uint64_t cursor = 0;
  std::uint32_t wait_ms = 0;
  // Everything that is known, however old, rather than what is fresh.
  bool last_known = false;
  // Answer once a fresh copy is there, rather than once something changes.
  bool await_fresh = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxMirrorKey>(prefix), cursor, wait_ms, last_known,
            await_fresh);
  }
};

template <typename Archive>
void serialize(Archive& archive, store_event& event) {
  bool has_value = event.value.has_value();
  std::string value = event.value.value_or("");
  archive(Bounded<kMaxMirrorKey>(event.key), event.version, has_value,
          Bounded<kMaxMirrorValue>(value));
  if (has_value)
    event.value = std::move(value);
}

template <typename Archive>
void serialize(Archive& archive, watch_batch& batch) {
  archive(batch.cursor, batch.reset, Bounded<kMaxMirrorEvents>(batch.events));
}

}  // namespace samphire

#endif  // TRAFFIC_MIRROR_MESSAGES_H_
