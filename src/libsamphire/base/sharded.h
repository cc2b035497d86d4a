#ifndef BASE_SHARDED_H_
#define BASE_SHARDED_H_

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string_view>

namespace samphire {

// State partitioned into `N` shards by the hash of a key. Each shard has its
// own lock, which reduces contention between threads that work on different
// keys. Thread-safe.
template <typename T, std::size_t N = 16>
class sharded {
 public:
  // Calls `visit` with the shard of `key` while holding its lock, and returns
  // the result. `visit` must not access this object.
  template <typename F>
  auto With(std::string_view key, F&& visit) {
    auto& shard = shards_[std::hash<std::string_view>{}(key) % N];
    std::lock_guard guard(shard.lock);
    return std::forward<F>(visit)(shard.state);
  }

  // Calls `visit` with each shard in turn while holding the lock of that shard,
  // so the shards are not observed at one point in time.
  template <typename F>
  void ForEach(F&& visit) {
    for (auto& shard : shards_) {
      std::lock_guard guard(shard.lock);
      visit(shard.state);
    }
  }

 private:
  // Aligned to a cache line of 64 bytes to avoid false sharing.
  struct alignas(64) shard_type {
    std::mutex lock;
    T state;
  };
  std::array<shard_type, N> shards_;
};

}  // namespace samphire

#endif  // BASE_SHARDED_H_
