#include "ledger/ledger_codec.h"

#include <xxhash.h>

#include <cstdint>
#include <utility>
#include <vector>

#include "base/bounded_codec.h"

namespace samphire {

namespace {

// "SLG1" as a number; identifies a ledger shard.
constexpr std::uint32_t kMagic = 0x534c4731;
constexpr std::uint16_t kFormatVersion = 1;
// Upper bound on the entries of a decoded shard: more than fit a value of one
// megabyte.
constexpr std::size_t kMaxEntries = 1 << 16;
// Upper bound on the encoded entries, in bytes.
constexpr std::size_t kMaxPayload = 1 << 20;

struct shard_payload {
  std::vector<ledger_entry> entries;

  template <typename Archive>
  void serialize(Archive& archive) {
    // Entries are read one by one, so that a forged count can't make the
    // decoder allocate memory up front.
    auto count = static_cast<std::uint32_t>(entries.size());
    archive(count);
    if (count > kMaxEntries)
      throw cereal::Exception("too many entries in ledger shard");
    for (std::uint32_t i = 0; i < count; ++i) {
      if constexpr (Archive::is_loading::value)
        entries.emplace_back();
      archive(entries[i]);
    }
  }
};

// The stored value: the encoded entries with a checksum over them.
struct shard_frame {
  std::uint32_t magic = kMagic;
  std::uint16_t version = kFormatVersion;
  std::uint64_t checksum = 0;
  std::string payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(magic, version, checksum, Bounded<kMaxPayload>(payload));
  }
};

std::uint64_t Checksum(const std::string& payload) {
  return XXH3_64bits(payload.data(), payload.size());
}

error Corrupt(std::string detail) {
  return MakeError(result_code::kStoreCorrupt, std::move(detail));
}

}  // namespace

std::string EncodeShard(const ledger_shard& shard) {
  shard_payload payload;
  payload.entries.reserve(shard.entries().size());
  for (const auto& [key, entry] : shard.entries())
    payload.entries.push_back(entry);
  shard_frame frame;
  frame.payload = EncodeBinary(payload);
  frame.checksum = Checksum(frame.payload);
  return EncodeBinary(frame);
}

// A lenient decoder could take a shard that was overwritten by another program,
// or written by a newer version, for an empty or partly empty one, and every
// request recorded in it would be executed again. Therefore any unexpected
// content makes the whole shard invalid.
result<ledger_shard> DecodeShard(std::string_view value) {
  auto frame = DecodeBinary<shard_frame>(value);
  if (!frame || frame->magic != kMagic)
    return Corrupt("not a ledger shard: bad frame or magic number");
  if (frame->version != kFormatVersion)
    return Corrupt("unsupported ledger shard format version");
  if (Checksum(frame->payload) != frame->checksum)
    return Corrupt("ledger shard checksum mismatch");
  auto payload = DecodeBinary<shard_payload>(frame->payload);
  if (!payload)
    return Corrupt("malformed entries in ledger shard");
  ledger_shard shard;
  for (auto& entry : payload->entries) {
    if (shard.Find(entry.service, entry.key) != nullptr)
      return Corrupt("duplicate key in ledger shard");
    shard.Insert(std::move(entry));
  }
  return shard;
}

}  // namespace samphire
