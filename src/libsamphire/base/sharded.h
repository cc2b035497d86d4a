#ifndef BASE_SHARDED_H_
#define BASE_SHARDED_H_

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string_view>

namespace samphire {

// State split into shards by key, each under a lock of its own, so that
// threads working on different keys seldom meet.
template <typename T, std::size_t N = 16>
class sharded {
 public:
  // Runs `visit` on the shard of `key`, under its lock.
  template <typename F>
  auto With(std::string_view key, F&& visit) {
    auto& shard = shards_[std::hash<std::string_view>{}(key) % N];
    std::lock_guard guard(shard.lock);
    return std::forward<F>(visit)(shard.state);
  }

  // Runs `visit` on every shard in turn, each under its lock.
  template <typename F>
  void ForEach(F&& visit) {
    for (auto& shard : shards_) {
      std::lock_guard guard(shard.lock);
      visit(shard.state);
    }
  }

 private:
  struct alignas(64) shard_type {
    std::mutex lock;
    T state;
  };
  std::array<shard_type, N> shards_;
};

}  // namespace samphire

#endif  // BASE_SHARDED_H_
