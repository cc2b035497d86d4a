#include "ledger/ledger_layout.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <optional>

#include "base/bounded_codec.h"

namespace samphire {

namespace {

constexpr const char* kLayoutKey = "ledger/layout";
constexpr std::uint32_t kMagic = 0x534c4c31;
constexpr std::uint32_t kMaxShards = 4096;
// Once to read, once to create, once to read what a rival created.
constexpr int kAttempts = 3;

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
    return MakeError(result_code::kStoreCorrupt, "not a ledger layout");
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

// Two entries that spread keys over different numbers of shards would look
// for one key in two places and run it twice. A changed declaration reaches
// entries at different times, so the number in it only counts for a ledger
// that doesn't exist yet; then the one written first counts for all.
result<std::uint32_t> AgreeOnShards(object_store& store, std::uint32_t wanted) {
  error failure;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const auto present = store.Get(kLayoutKey);
    if (present)
      return Decode(present.value().value);
    if (present.error().code != result_code::kStoreNotFound)
      return present.error();
    layout_value layout;
    layout.shards = std::clamp(wanted, 1U, kMaxShards);
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
