#include "traffic/following/mirror_messages.h"

#include "base/deflate.h"

namespace samphire {

namespace {

// Minimum size of a batch that is compressed, without its patches, which are
// compressed already.
constexpr std::size_t kMinDeflatedBytes = 2048;

// Binary form of a patched_batch.
struct batch_envelope {
  bool deflated = false;
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(deflated, Bounded<kMaxPatchedBatchBytes>(bytes));
  }
};

std::size_t PatchBytes(const patched_batch& batch) {
  std::size_t bytes = 0;
  for (const auto& event : batch.events) {
    if (const auto* patch = std::get_if<value_patch>(&event.change))
      bytes += patch->bytes.size();
  }
  return bytes;
}

}  // namespace

std::string EncodePatchedBatch(const patched_batch& batch) {
  batch_envelope envelope{.deflated = false, .bytes = EncodeBinary(batch)};
  if (envelope.bytes.size() - PatchBytes(batch) >= kMinDeflatedBytes)
    envelope = {.deflated = true, .bytes = Deflate(envelope.bytes)};
  return EncodeBinary(envelope);
}

std::optional<patched_batch> DecodePatchedBatch(const std::string& bytes) {
  auto envelope = DecodeBinary<batch_envelope>(bytes);
  if (!envelope)
    return std::nullopt;
  if (!envelope->deflated)
    return DecodeBinary<patched_batch>(envelope->bytes);
  const auto inflated = Inflate(envelope->bytes, kMaxPatchedBatchBytes);
  return inflated ? DecodeBinary<patched_batch>(*inflated) : std::nullopt;
}

}  // namespace samphire
