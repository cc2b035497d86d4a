#ifndef LEDGER_CHAOS_STORE_H_
#define LEDGER_CHAOS_STORE_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "support/fake_object_store.h"

namespace samphire {

// A platform whose answers and requests are lost, whose requests arrive late,
// and between whose calls others act, all by a seed.
class chaos_store final : public object_store {
 public:
  // A guard that is taken away, to show that the history check notices.
  enum class missing_guard {
    kNone,
    // Writes succeed whatever the version.
    kVersionFence,
    // A write of unknown outcome counts as done and is not read back.
    kNonceReadBack,
  };

  chaos_store(std::uint64_t seed, missing_guard missing)
      : random_(seed), missing_(missing) {}

  result<store_object> Get(const std::string& key) override;
  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected) override;
  result<void> Delete(const std::string& key, std::uint64_t expected) override {
    return platform_.Delete(key, expected);
  }
  result<std::vector<store_object>> List(const std::string& prefix) override {
    return platform_.List(prefix);
  }
  result<watch_batch> Watch(const std::string& prefix,
                            std::uint64_t cursor,
                            milliseconds wait) override {
    return platform_.Watch(prefix, cursor, wait);
  }
  result<std::vector<instance_info>> Instances() override {
    return platform_.Instances();
  }

  // Runs between the calls, on the caller's thread.
  std::function<void()> others_act = [] {};
  // Ends all faults and lets what is late arrive.
  void Heal();
  void SetDown(bool down) { platform_.SetDown(down); }

 private:
  struct late_write {
    std::string key;
    std::string value;
    std::uint64_t expected = 0;
  };

  result<std::uint64_t> PutNow(const late_write& write);
  void ArriveLate();
  bool Chance(int percent);

  std::mt19937_64 random_;
  const missing_guard missing_;
  bool healed_ = false;
  fake_object_store platform_;
  std::vector<late_write> late_;
};

}  // namespace samphire

#endif  // LEDGER_CHAOS_STORE_H_
