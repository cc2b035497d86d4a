#include "ledger/ledger_layout.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <optional>

#include "base/bounded_codec.h"

namespace samphire {

namespace {

constexpr const char* kLayoutKey = "ledger/layout";
// "SLL1" as a number; identifies the layout object.
constexpr std::uint32_t kMagic = 0x534c4c31;
// Upper bound on the number of shards; four digits suffice for their keys.
constexpr std::uint32_t kMaxShards = 4096;
// One attempt to create the layout, one to read what another entry created at
// the same time, and one in reserve.
constexpr int kMaxAttempts = 3;

// The stored layout.
struct layout_value {
  std::uint32_t magic = kMagic;
  std::uint32_t shards = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(magic, shards);
  }
};

result<std::uint32_t> Decode(const std::string& bytes) {
  const auto layout = DecodeBinary<layout_value>(bytes);
  if (!layout || layout->magic != kMagic || layout->shards == 0 ||
      layout->shards > kMaxShards) {
    return MakeError(result_code::kStoreCorrupt,
                     "invalid ledger layout object");
  }
  return layout->shards;
}

}  // namespace

std::string ShardKey(std::uint32_t shard) {
  return fmt::format("{}{:04}", kLedgerPrefix, shard);
}

std::uint32_t ShardOf(std::string_view service,
                      std::string_view key,
                      std::uint32_t shards) {
  const auto text = fmt::format("{}\n{}", service, key);
  return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()) %
                                    shards);
}

// Entries that disagreed on the number of shards would look for the same key in
// different shards and execute its request twice. A changed declaration reaches
// entries at different times, so the declared number is used only to create a
// ledger; after that, the number written first applies to all entries.
result<std::uint32_t> LoadOrCreateLayout(object_store& store,
                                         std::uint32_t declared_shards) {
  error failure;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto present = store.Get(kLayoutKey);
    if (present)
      return Decode(present.value().value);
    if (present.error().code != result_code::kStoreNotFound)
      return present.error();
    layout_value layout;
    layout.shards = std::clamp(declared_shards, 1U, kMaxShards);
    const auto written = store.Put(kLayoutKey, EncodeBinary(layout), 0);
    if (written)
      return layout.shards;
    failure = written.error();
  }
  return failure;
}

bool IsShardKey(std::string_view key) {
  return key.starts_with(kLedgerPrefix) && key != kLayoutKey;
}

}  // namespace samphire
