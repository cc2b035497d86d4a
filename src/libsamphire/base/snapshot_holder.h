#ifndef BASE_SNAPSHOT_HOLDER_H_
#define BASE_SNAPSHOT_HOLDER_H_

#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstdint>
#include <mutex>
#include <utility>

namespace samphire {

// Holds the present version of an immutable, reference-counted object.
// Readers take no lock unless the object changed since their last read: each
// thread keeps the version it saw, and the number of the latest version tells
// whether that is still the one.
template <typename T>
class snapshot_holder {
 public:
  using pointer = boost::intrusive_ptr<const T>;

  void Store(pointer value) {
    std::lock_guard guard(lock_);
    value_ = std::move(value);
    generation_.store(NextGeneration(), std::memory_order_release);
  }

  pointer Load() const {
    thread_local cached_value cached;
    const auto generation = generation_.load(std::memory_order_acquire);
    if (cached.generation != generation) {
      std::lock_guard guard(lock_);
      cached.value = value_;
      cached.generation = generation_.load(std::memory_order_relaxed);
    }
    return cached.value;
  }

 private:
  struct cached_value {
    std::uint64_t generation = 0;
    pointer value;
  };

  // Numbers are unique over all holders of one type, since the threads' cache
  // is shared by them.
  static std::uint64_t NextGeneration() {
    static std::atomic<std::uint64_t> last{0};
    return ++last;
  }

  mutable std::mutex lock_;
  pointer value_;
  std::atomic<std::uint64_t> generation_{NextGeneration()};
};

}  // namespace samphire

#endif  // BASE_SNAPSHOT_HOLDER_H_
