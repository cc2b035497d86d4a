#ifndef LEDGER_LEDGER_LAYOUT_H_
#define LEDGER_LEDGER_LAYOUT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "store/object_store.h"

namespace samphire {

inline constexpr const char* kLedgerPrefix = "ledger/";

std::string ShardKey(std::uint32_t shard);
std::uint32_t ShardOf(std::string_view service,
                      std::string_view key,
                      std::uint32_t shards);

// The number of shards that the platform's ledger has; where it has none yet,
// `wanted` is written down first.
result<std::uint32_t> AgreeOnShards(object_store& store, std::uint32_t wanted);

// Whether `key` names a shard rather than the layout itself.
bool IsShardKey(std::string_view key);

}  // namespace samphire

#endif  // LEDGER_LEDGER_LAYOUT_H_
