#ifndef BENCH_SLOW_STORE_H_
#define BENCH_SLOW_STORE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "store/object_store.h"

namespace samphire {

// An object_store in memory that delays every call by a fixed latency and
// counts the calls and the bytes written. Supports only Get and Put, the calls
// on which conditional updates are built; all others return kStoreRefused.
// Thread-safe.
class slow_store final : public object_store {
 public:
  // Each Get and Put blocks for `latency` before it takes effect.
  explicit slow_store(milliseconds latency) : latency_(latency) {}

  result<store_object> Get(const std::string& key) override {
    Wait();
    std::lock_guard guard(lock_);
    const auto found = objects_.find(key);
    if (found == objects_.end())
      return MakeError(result_code::kStoreNotFound);
    return found->second;
  }
  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected) override {
    Wait();
    std::lock_guard guard(lock_);
    auto& object = objects_[key];
    if (object.version != expected)
      return MakeError(result_code::kStoreConflict);
    bytes_ += value.size();
    object = {key, expected + 1, value};
    return expected + 1;
  }
  result<void> Delete(const std::string&, std::uint64_t) override {
    return MakeError(result_code::kStoreRefused);
  }
  result<std::vector<store_object>> List(const std::string&) override {
    return MakeError(result_code::kStoreRefused);
  }
  result<watch_batch> Watch(const std::string&,
                            store_cursor,
                            milliseconds) override {
    return MakeError(result_code::kStoreRefused);
  }
  result<std::vector<instance_info>> Instances() override {
    return MakeError(result_code::kStoreRefused);
  }

  // Number of Get and Put calls so far.
  int calls() const { return calls_; }
  // Total size of the values of successful Put calls, in bytes.
  std::uint64_t bytes() const { return bytes_; }

 private:
  void Wait() {
    ++calls_;
    std::this_thread::sleep_for(latency_);
  }

  const milliseconds latency_;
  std::atomic<int> calls_{0};
  std::atomic<std::uint64_t> bytes_{0};
  std::mutex lock_;
  std::map<std::string, store_object> objects_;
};

}  // namespace samphire

#endif  // BENCH_SLOW_STORE_H_
