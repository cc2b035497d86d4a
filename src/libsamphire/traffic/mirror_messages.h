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

// HTTP path at which an entry serves its copy of the platform's objects.
inline const std::string kMirrorPath = "/v1/peer/mirror";

// Bounds on decoded messages. Keys and values have the platform's own bounds,
// in bytes; the number of events allows a listing of all targets of the largest
// fleet.
inline constexpr std::size_t kMaxMirrorKeyBytes = 1024;
inline constexpr std::size_t kMaxMirrorValueBytes = 2U << 20U;
inline constexpr std::size_t kMaxMirrorEvents = 200'000;

// Requests the changes of all objects whose keys start with `prefix`. The
// response is a watch_batch.
struct mirror_request {
  std::string prefix;
  // The platform's revision after which changes are returned; 0 requests all
  // objects.
  std::uint64_t cursor = 0;
  // How long the peer may wait for a change before it returns an empty batch.
  std::uint32_t wait_ms = 0;
  // Returns all known objects regardless of their age, and does not wait.
  bool last_known = false;
  // Returns as soon as a fresh copy is available, even if nothing has changed,
  // rather than at the next change.
  bool await_fresh = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxMirrorKeyBytes>(prefix), cursor, wait_ms, last_known,
            await_fresh);
  }
};

template <typename Archive>
void serialize(Archive& archive, store_event& event) {
  bool has_value = event.value.has_value();
  std::string value = event.value.value_or("");
  archive(Bounded<kMaxMirrorKeyBytes>(event.key), event.version, has_value,
          Bounded<kMaxMirrorValueBytes>(value));
  if (has_value)
    event.value = std::move(value);
}

template <typename Archive>
void serialize(Archive& archive, watch_batch& batch) {
  archive(batch.cursor, batch.reset, Bounded<kMaxMirrorEvents>(batch.events));
}

}  // namespace samphire

#endif  // TRAFFIC_MIRROR_MESSAGES_H_
