#include "ledger/chaos_store.h"

namespace samphire {

result<store_object> chaos_store::Get(const std::string& key) {
  others_act();
  ArriveLate();
  if (!healed_ && Chance(5))
    return MakeError(result_code::kStoreUnreachable, "chaos");
  return platform_.Get(key);
}

result<std::uint64_t> chaos_store::Put(const std::string& key,
                                       const std::string& value,
                                       std::uint64_t expected) {
  others_act();
  ArriveLate();
  const late_write write{key, value, expected};
  if (healed_ || Chance(60))
    return PutNow(write);
  const auto lost = MakeError(result_code::kStoreOutcomeUnknown, "chaos");
  if (Chance(30))
    late_.push_back(write);
  else if (Chance(60))
    static_cast<void>(PutNow(write));
  others_act();
  if (missing_ == missing_guard::kNonceReadBack)
    return expected + 1;
  return lost;
}

result<std::uint64_t> chaos_store::PutNow(const late_write& write) {
  if (missing_ != missing_guard::kVersionFence)
    return platform_.Put(write.key, write.value, write.expected);
  const auto present = platform_.Get(write.key);
  return platform_.Put(write.key, write.value,
                       present ? present.value().version : 0);
}

void chaos_store::ArriveLate() {
  if (late_.empty() || !Chance(30))
    return;
  static_cast<void>(PutNow(late_.back()));
  late_.pop_back();
}

void chaos_store::Heal() {
  healed_ = true;
  others_act = [] {};
  for (const auto& write : late_)
    static_cast<void>(PutNow(write));
  late_.clear();
}

bool chaos_store::Chance(int percent) {
  return std::uniform_int_distribution<>(0, 99)(random_) < percent;
}

}  // namespace samphire
