#include "ledger/shard_store.h"

#include <fmt/format.h>

#include <utility>

#include "base/log.h"
#include "ledger/ledger_codec.h"

namespace samphire {

shard_store::shard_store(object_store& store,
                         std::string key,
                         metrics& registry)
    : store_(store), key_(std::move(key)), metrics_(registry) {}

result<void> shard_store::Load() {
  cached_.reset();
  CountCall("get");
  auto object = store_.Get(key_);
  if (!object && object.error().code == result_code::kStoreNotFound) {
    cached_ = versioned_shard{};
    return Success();
  }
  if (!object)
    return object.error();
  auto shard = DecodeShard(object.value().value);
  if (!shard) {
    Log(log_level::kError, "ledger-shard-corrupt",
        {{"key", key_}, {"detail", shard.error().detail}});
    return shard.error();
  }
  cached_ = versioned_shard{object.value().version, std::move(shard).value()};
  return Success();
}

result<void> shard_store::Write(ledger_shard next) {
  const auto expected = cached_->version;
  cached_.reset();
  CountCall("put");
  auto version = store_.Put(key_, EncodeShard(next), expected);
  if (!version)
    return version.error();
  cached_ = versioned_shard{version.value(), std::move(next)};
  return Success();
}

void shard_store::CountCall(const char* call) {
  metrics_.Count("ledger_store_calls_total", fmt::format("call=\"{}\"", call));
}

}  // namespace samphire
