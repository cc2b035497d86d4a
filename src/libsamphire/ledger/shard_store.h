#ifndef LEDGER_SHARD_STORE_H_
#define LEDGER_SHARD_STORE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/result.h"
#include "ledger/ledger_shard.h"
#include "metrics/metrics.h"
#include "store/object_store.h"

namespace samphire {

// Reads and writes one shard's object in the platform and caches the last known
// state. Not synchronized.
class shard_store {
 public:
  // A state of the shard and the object version that it was read or written as.
  struct versioned_shard {
    std::uint64_t version = 0;
    ledger_shard shard;
  };

  shard_store(object_store& store, std::string key, metrics& registry);

  // The cached state, or null if it has to be read first.
  const versioned_shard* cached() const {
    return cached_ ? &*cached_ : nullptr;
  }
  // Drops the cached state.
  void Invalidate() { cached_.reset(); }

  // Reads the object. If it doesn't exist, the result is an empty shard of
  // version 0. Returns the failure of the platform, or kStoreCorrupt.
  result<void> Load();
  // Writes `next` if the object still has the cached version; requires a cached
  // state. On any failure the cached state is dropped, since the object may
  // have changed.
  result<void> Write(ledger_shard next);

 private:
  // Counts a call to the platform.
  void CountCall(const char* call);

  object_store& store_;
  std::string key_;
  metrics& metrics_;
  std::optional<versioned_shard> cached_;
};

}  // namespace samphire

#endif  // LEDGER_SHARD_STORE_H_
