#include "ledger/faulty_store.h"

namespace samphire {

result<store_object> faulty_store::Get(const std::string& key) {
  between_calls();
  DeliverDelayed();
  if (!faults_ended_ && WithProbability(5))
    return MakeError(result_code::kStoreUnreachable, "injected fault");
  return platform_.Get(key);
}

result<std::uint64_t> faulty_store::Put(const std::string& key,
                                        const std::string& value,
                                        std::uint64_t expected) {
  between_calls();
  DeliverDelayed();
  const delayed_write write{key, value, expected};
  if (faults_ended_ || WithProbability(60))
    return PutNow(write);
  const auto unknown_outcome =
      MakeError(result_code::kStoreOutcomeUnknown, "injected fault");
  if (WithProbability(30))
    delayed_.push_back(write);
  else if (WithProbability(60))
    static_cast<void>(PutNow(write));
  between_calls();
  if (disabled_ == disabled_guard::kNonceReadBack)
    return expected + 1;
  return unknown_outcome;
}

result<std::uint64_t> faulty_store::PutNow(const delayed_write& write) {
  if (disabled_ != disabled_guard::kVersionFence)
    return platform_.Put(write.key, write.value, write.expected);
  const auto present = platform_.Get(write.key);
  return platform_.Put(write.key, write.value,
                       present ? present.value().version : 0);
}

void faulty_store::DeliverDelayed() {
  if (delayed_.empty() || !WithProbability(30))
    return;
  static_cast<void>(PutNow(delayed_.back()));
  delayed_.pop_back();
}

void faulty_store::EndFaults() {
  faults_ended_ = true;
  between_calls = [] {};
  for (const auto& write : delayed_)
    static_cast<void>(PutNow(write));
  delayed_.clear();
}

bool faulty_store::WithProbability(int percent) {
  return std::uniform_int_distribution<>(0, 99)(random_) < percent;
}

}  // namespace samphire
