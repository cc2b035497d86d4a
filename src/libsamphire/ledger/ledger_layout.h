#ifndef LEDGER_LEDGER_LAYOUT_H_
#define LEDGER_LEDGER_LAYOUT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "store/object_store.h"

namespace samphire {

// Prefix of all ledger objects in the platform.
inline constexpr const char* kLedgerPrefix = "ledger/";

// Returns the object key of a shard.
std::string ShardKey(std::uint32_t shard);
// Returns the shard, in [0, shards), that holds a (service, key) pair.
std::uint32_t ShardOf(std::string_view service,
                      std::string_view key,
                      std::uint32_t shards);

// Returns the number of shards of the platform's ledger. If there is no ledger
// yet, creates its layout with `declared_shards`, limited to 1 to 4096, first.
// Returns kStoreCorrupt if the stored layout is invalid, or the failure of the
// platform.
result<std::uint32_t> LoadOrCreateLayout(object_store& store,
                                         std::uint32_t declared_shards);

// Returns whether `key` names a shard rather than the layout object.
bool IsShardKey(std::string_view key);

}  // namespace samphire

#endif  // LEDGER_LEDGER_LAYOUT_H_
