#ifndef STEERING_SHARED_SNAPSHOT_H_
#define STEERING_SHARED_SNAPSHOT_H_

#include <array>
#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

namespace samphire {

// Holds one immutable object that many threads read and one now and then
// replaces whole. Readers never wait, neither for a lock nor for the writer;
// the writer waits for the readers of the old object.
//
// libstdc++'s atomic<shared_ptr> takes a lock bit on each read, and a count
// shared by all readers bounces between the cores. A copy kept by each thread
// would let hundreds of idle connection threads hold old tables of tens of
// megabytes each. So readers are counted in slots, spread over the threads.
template <typename T>
class shared_snapshot {
 public:
  using pointer = boost::intrusive_ptr<const T>;

  explicit shared_snapshot(pointer first = nullptr)
      : held_(std::move(first)), current_(held_.get()) {}

  // Runs `visit` on the present object, which may be null. Keep it short: a
  // Replace waits for it.
  template <typename F>
  auto Read(F&& visit) const {
    const reader_mark mark(*this);
    return std::forward<F>(visit)(current_.load());
  }

  // The present object, kept alive for as long as the caller likes.
  pointer Get() const {
    return Read([](const T* current) { return pointer(current); });
  }

  void Replace(pointer next) {
    std::lock_guard guard(writer_);
    std::swap(held_, next);
    current_.store(held_.get());
    // A reader that got the old object had marked itself before, under either
    // phase. Turning the phase sends new readers to the other counters, so
    // that a steady stream of them can't keep the writer waiting for ever.
    for (std::size_t turn = 0; turn < kPhases; ++turn) {
      const auto old_phase = phase_.load();
      phase_.store((old_phase + 1) % kPhases);
      WaitForReaders(old_phase);
    }
  }

 private:
  static constexpr std::size_t kPhases = 2;
  // About the cores of one instance; threads that share a slot still never
  // wait for each other.
  static constexpr std::size_t kSlots = 16;

  struct alignas(64) reader_slot {
    std::array<std::atomic<std::int64_t>, kPhases> readers{};
  };

  class reader_mark {
   public:
    explicit reader_mark(const shared_snapshot& holder)
        : count_(holder.slots_[OwnSlot()].readers[holder.phase_.load()]) {
      count_.fetch_add(1);
    }
    ~reader_mark() { count_.fetch_sub(1); }
    reader_mark(const reader_mark&) = delete;
    reader_mark& operator=(const reader_mark&) = delete;

   private:
    std::atomic<std::int64_t>& count_;
  };

  static std::size_t OwnSlot() {
    thread_local const std::size_t slot =
        std::hash<std::thread::id>{}(std::this_thread::get_id()) % kSlots;
    return slot;
  }

  void WaitForReaders(std::size_t phase) const {
    for (const auto& slot : slots_) {
      while (slot.readers[phase].load() != 0)
        std::this_thread::yield();
    }
  }

  mutable std::array<reader_slot, kSlots> slots_;
  std::atomic<std::size_t> phase_{0};
  std::mutex writer_;
  pointer held_;
  std::atomic<const T*> current_;
};

}  // namespace samphire

#endif  // STEERING_SHARED_SNAPSHOT_H_
