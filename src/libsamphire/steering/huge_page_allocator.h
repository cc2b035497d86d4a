#ifndef STEERING_HUGE_PAGE_ALLOCATOR_H_
#define STEERING_HUGE_PAGE_ALLOCATOR_H_

#include <sys/mman.h>

#include <cstddef>
#include <new>

namespace samphire {

// Allocator for large arrays with random access, which asks the kernel for
// transparent huge pages: with pages of 4 KB nearly every read of a 25 MB table
// also misses the TLB. Arrays smaller than one huge page, and all arrays where
// the system grants none, get ordinary pages. Stateless and thread-safe;
// allocate throws std::bad_alloc as operator new does.
template <typename T>
class huge_page_allocator {
 public:
  // The names below are those of the standard allocator requirements.
  using value_type = T;

  huge_page_allocator() = default;
  template <typename U>
  explicit huge_page_allocator(const huge_page_allocator<U>&) {}

  T* allocate(std::size_t count) {
    const auto bytes = count * sizeof(T);
    auto* memory = ::operator new(bytes, AlignmentOf(count));
    if (IsLarge(count))
      // A hint: a failure leaves ordinary pages.
      madvise(memory, bytes - bytes % kHugePageBytes, MADV_HUGEPAGE);
    return static_cast<T*>(memory);
  }

  void deallocate(T* memory, std::size_t count) {
    ::operator delete(memory, AlignmentOf(count));
  }

  bool operator==(const huge_page_allocator&) const { return true; }

 private:
  // Size of a huge page on x86-64, 2 MiB; also the smallest array that asks for
  // them.
  static constexpr std::size_t kHugePageBytes = std::size_t{2} << 20;

  static bool IsLarge(std::size_t count) {
    return count * sizeof(T) >= kHugePageBytes;
  }
  static std::align_val_t AlignmentOf(std::size_t count) {
    return std::align_val_t{IsLarge(count) ? kHugePageBytes : alignof(T)};
  }
};

}  // namespace samphire

#endif  // STEERING_HUGE_PAGE_ALLOCATOR_H_
