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

// Holds one immutable object that many threads read and that is replaced as a
// whole from time to time. All members may be called from any thread. Readers
// never wait, neither for a lock nor for the writer; the writer waits until no
// reader uses the old object any more (a grace period, as in read-copy-update).
// `T` is reference-counted for boost::intrusive_ptr, with a thread-safe
// counter.
//
// libstdc++'s atomic<shared_ptr> takes a lock bit on each read, and a reference
// count shared by all readers bounces between the cores. A copy in each thread
// would let hundreds of idle connection threads keep old tables of tens of
// megabytes each. So readers are counted in several counters, spread over the
// threads.
template <typename T>
class shared_snapshot {
 public:
  using pointer = boost::intrusive_ptr<const T>;

  explicit shared_snapshot(pointer first = nullptr)
      : owner_(std::move(first)), current_(owner_.get()) {}

  // Runs `visit` with the current object, which may be null, and returns its
  // result. The pointer is valid during the call only. `visit` should be short,
  // since Replace waits for it, and must not call Replace, which would wait for
  // itself.
  template <typename F>
  auto Read(F&& visit) const {
    const reader_registration registration(*this);
    return std::forward<F>(visit)(current_.load());
  }

  // Returns the current object, possibly null, and keeps it alive as long as
  // the pointer exists.
  pointer Get() const {
    return Read([](const T* current) { return pointer(current); });
  }

  // Makes `next`, which may be null, the current object and drops the reference
  // to the old one. Returns once no reader uses the old object through Read.
  // Concurrent calls run one after the other.
  void Replace(pointer next) {
    std::lock_guard guard(writer_mutex_);
    std::swap(owner_, next);
    current_.store(owner_.get());
    // A reader that got the old object had registered before, under either
    // phase. Switching the phase sends new readers to the other counters, so
    // that a steady stream of readers cannot keep the writer waiting for ever.
    for (std::size_t flip = 0; flip < kPhases; ++flip) {
      const auto old_phase = phase_.load();
      phase_.store((old_phase + 1) % kPhases);
      WaitForReaders(old_phase);
    }
  }

 private:
  // Sets of reader counters, of which new readers use one at a time.
  static constexpr std::size_t kPhases = 2;
  // Number of counters per phase, about that of an instance's cores. Threads
  // that share a counter contend for its cache line but never wait for each
  // other.
  static constexpr std::size_t kReaderSlots = 16;

  // Numbers of readers in progress by phase, on a cache line of their own.
  struct alignas(64) reader_slot {
    std::array<std::atomic<std::int64_t>, kPhases> readers{};
  };

  // Counts the calling thread as a reader while it exists.
  class reader_registration {
   public:
    explicit reader_registration(const shared_snapshot& snapshot)
        : count_(snapshot.reader_slots_[SlotOfThisThread()]
                     .readers[snapshot.phase_.load()]) {
      count_.fetch_add(1);
    }
    ~reader_registration() { count_.fetch_sub(1); }
    reader_registration(const reader_registration&) = delete;
    reader_registration& operator=(const reader_registration&) = delete;

   private:
    std::atomic<std::int64_t>& count_;
  };

  static std::size_t SlotOfThisThread() {
    thread_local const std::size_t slot =
        std::hash<std::thread::id>{}(std::this_thread::get_id()) % kReaderSlots;
    return slot;
  }

  void WaitForReaders(std::size_t phase) const {
    for (const auto& slot : reader_slots_) {
      while (slot.readers[phase].load() != 0)
        std::this_thread::yield();
    }
  }

  mutable std::array<reader_slot, kReaderSlots> reader_slots_;
  std::atomic<std::size_t> phase_{0};
  std::mutex writer_mutex_;
  // Keeps the current object alive; used under writer_mutex_ only.
  pointer owner_;
  // The same object, for readers.
  std::atomic<const T*> current_;
};

}  // namespace samphire

#endif  // STEERING_SHARED_SNAPSHOT_H_
