#ifndef LEDGER_FAULTY_STORE_H_
#define LEDGER_FAULTY_STORE_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "support/fake_object_store.h"

namespace samphire {

// An object store with injected faults, pseudo-random by a seed: responses and
// requests are lost, requests arrive late, and other entries act between the
// calls. Single-threaded.
class faulty_store final : public object_store {
 public:
  // A safeguard that is disabled to show that the history check detects its
  // absence.
  enum class disabled_guard {
    kNone,
    // Writes succeed whatever the version.
    kVersionFence,
    // A write of unknown outcome is reported as successful, so it isn't read
    // back.
    kNonceReadBack,
  };

  faulty_store(std::uint64_t seed, disabled_guard disabled)
      : random_(seed), disabled_(disabled) {}

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
                            store_cursor cursor,
                            milliseconds wait) override {
    return platform_.Watch(prefix, cursor, wait);
  }
  result<std::vector<instance_info>> Instances() override {
    return platform_.Instances();
  }

  // Runs before each read, and before and after each write, on the caller's
  // thread.
  std::function<void()> between_calls = [] {};
  // Ends all faults and delivers the delayed writes.
  void EndFaults();
  // Makes every call fail until reset.
  void SetDown(bool down) { platform_.SetDown(down); }

 private:
  struct delayed_write {
    std::string key;
    std::string value;
    std::uint64_t expected = 0;
  };

  // Executes a write, without its version check if that is disabled.
  result<std::uint64_t> PutNow(const delayed_write& write);
  // Sometimes delivers the write that was delayed last.
  void DeliverDelayed();
  // Returns true with a probability of `percent`.
  bool WithProbability(int percent);

  std::mt19937_64 random_;
  const disabled_guard disabled_;
  bool faults_ended_ = false;
  fake_object_store platform_;
  std::vector<delayed_write> delayed_;
};

}  // namespace samphire

#endif  // LEDGER_FAULTY_STORE_H_
