#include "ledger/ledger_codec.h"

#include <xxhash.h>

#include <cstdint>
#include <utility>
#include <vector>

#include "base/bounded_codec.h"

namespace samphire {

namespace {

constexpr std::uint32_t kMagic = 0x534c4731;
constexpr std::uint16_t kFormatVersion = 1;
// More than fit a value of a megabyte.
constexpr std::size_t kMaxEntries = 1 << 16;
constexpr std::size_t kMaxPayload = 1 << 20;

struct shard_payload {
  std::vector<ledger_entry> entries;

  template <typename Archive>
  void serialize(Archive& archive) {
    // Entry by entry: a forged count must not allocate entries up front.
    auto count = static_cast<std::uint32_t>(entries.size());
    archive(count);
    if (count > kMaxEntries)
      throw cereal::Exception("too many entries");
    for (std::uint32_t i = 0; i < count; ++i) {
      if constexpr (Archive::is_loading::value)
        entries.emplace_back();
      archive(entries[i]);
    }
  }
};

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

// A shard that another program wrote over, or that a newer version wrote,
// would look empty or half empty to a lenient reader, and everything in it
// would run again. So anything unexpected refuses the whole shard.
result<ledger_shard> DecodeShard(std::string_view value) {
  auto frame = DecodeBinary<shard_frame>(value);
  if (!frame || frame->magic != kMagic)
    return Corrupt("not a ledger shard");
  if (frame->version != kFormatVersion)
    return Corrupt("ledger shard of another format version");
  if (Checksum(frame->payload) != frame->checksum)
    return Corrupt("ledger shard with a wrong checksum");
  auto payload = DecodeBinary<shard_payload>(frame->payload);
  if (!payload)
    return Corrupt("ledger shard with malformed entries");
  ledger_shard shard;
  for (auto& entry : payload->entries) {
    if (shard.Find(entry.service, entry.key) != nullptr)
      return Corrupt("ledger shard with a key twice");
    shard.Insert(std::move(entry));
  }
  return shard;
}

}  // namespace samphire
