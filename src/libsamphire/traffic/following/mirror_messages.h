#ifndef TRAFFIC_FOLLOWING_MIRROR_MESSAGES_H_
#define TRAFFIC_FOLLOWING_MIRROR_MESSAGES_H_

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/bounded_codec.h"
#include "store/patched_batch.h"
#include "store/store_object.h"
#include "store/watch_batch.h"

namespace samphire {

// HTTP path at which an entry serves its copy of the platform's objects.
inline const std::string kMirrorPath = "/v1/peer/mirror";

// Bound on decoded messages: allows a listing of all targets of the largest
// fleet.
inline constexpr std::size_t kMaxMirrorEvents = 200'000;

// Media type of an encoded patched_batch. A peer that does not accept it gets a
// watch_batch.
inline const std::string kPatchedBatchType =
    "application/vnd.samphire.patched-batch";
// Upper bound on the decompressed size of an encoded patched_batch, in bytes.
inline constexpr std::size_t kMaxPatchedBatchBytes = std::size_t{256} << 20U;

// Requests the changes of all objects whose keys start with `prefix`. The
// response is a patched_batch, or a watch_batch for peers that accept no other.
struct mirror_request {
  std::string prefix;
  // The position after which changes are returned; none requests all objects.
  store_cursor cursor;
  // How long the peer may wait for a change before it returns an empty batch.
  std::uint32_t wait_ms = 0;
  // Returns all known objects regardless of their age, and does not wait.
  bool last_known = false;
  // Returns as soon as a fresh copy is available, even if nothing has changed,
  // rather than at the next change.
  bool await_fresh = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxObjectKeyBytes>(prefix), cursor, wait_ms, last_known,
            await_fresh);
  }
};

template <typename Archive>
void serialize(Archive& archive, store_event& event) {
  bool has_value = event.value.has_value();
  std::string value = event.value.value_or("");
  archive(Bounded<kMaxObjectKeyBytes>(event.key), event.version, has_value,
          Bounded<kMaxObjectValueBytes>(value));
  if (has_value)
    event.value = std::move(value);
}

template <typename Archive>
void serialize(Archive& archive, watch_batch& batch) {
  archive(batch.cursor, batch.reset, Bounded<kMaxMirrorEvents>(batch.events));
}

template <typename Archive>
void serialize(Archive& /*archive*/, object_deletion& /*none*/) {}

template <typename Archive>
void serialize(Archive& archive, value_patch& patch) {
  archive(patch.base_version, Bounded<kMaxObjectValueBytes>(patch.bytes));
}

template <typename Archive>
void serialize(Archive& archive, patched_event& event) {
  archive(Bounded<kMaxObjectKeyBytes>(event.key), event.version, event.change,
          event.era);
}

template <typename Archive>
void serialize(Archive& archive, patched_batch& batch) {
  archive(batch.cursor, batch.reset, Bounded<kMaxMirrorEvents>(batch.events));
}

// Returns the batch in binary form, compressed if that pays.
std::string EncodePatchedBatch(const patched_batch& batch);
// Returns nothing if `bytes` are malformed.
std::optional<patched_batch> DecodePatchedBatch(const std::string& bytes);

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_MIRROR_MESSAGES_H_
