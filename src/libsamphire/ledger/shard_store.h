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

// One shard's object in the platform and the last state known of it.
class shard_store {
 public:
  struct view {
    std::uint64_t version = 0;
    ledger_shard shard;
  };

  shard_store(object_store& store, std::string key, metrics& registry);

  // The known state; null when it has to be read first.
  const view* known() const { return known_ ? &*known_ : nullptr; }
  void Forget() { known_.reset(); }

  // Reads the object; one that doesn't exist is an empty shard of version 0.
  result<void> Load();
  // Writes `next` if the object still has the known version. Whatever fails,
  // the known state is forgotten.
  result<void> Write(ledger_shard next);

 private:
  void CountCall(const char* call);

  object_store& store_;
  std::string key_;
  metrics& metrics_;
  std::optional<view> known_;
};

}  // namespace samphire

#endif  // LEDGER_SHARD_STORE_H_
