#ifndef STEERING_HUGE_PAGE_ALLOCATOR_H_
#define STEERING_HUGE_PAGE_ALLOCATOR_H_

#include <sys/mman.h>

#include <cstddef>
#include <new>

namespace samphire {

// Asks for huge pages for large arrays that are read at random: with pages of
// 4 KB nearly each read of a 25 MB table also misses the address cache. Where
// the system gives none, the array is an ordinary one.
template <typename T>
class huge_page_allocator {
 public:
  // Names that the standard library prescribes.
  using value_type = T;

  huge_page_allocator() = default;
  template <typename U>
  explicit huge_page_allocator(const huge_page_allocator<U>&) {}

  T* allocate(std::size_t count) {
    const auto bytes = count * sizeof(T);
    auto* memory = ::operator new(bytes, AlignmentOf(count));
    if (IsLarge(count))
      madvise(memory, bytes - bytes % kHugePage, MADV_HUGEPAGE);
    return static_cast<T*>(memory);
  }

  void deallocate(T* memory, std::size_t count) {
    ::operator delete(memory, AlignmentOf(count));
  }

  bool operator==(const huge_page_allocator&) const { return true; }

 private:
  static constexpr std::size_t kHugePage = std::size_t{2} << 20;

  static bool IsLarge(std::size_t count) {
    return count * sizeof(T) >= kHugePage;
  }
  static std::align_val_t AlignmentOf(std::size_t count) {
    return std::align_val_t{IsLarge(count) ? kHugePage : alignof(T)};
  }
};

}  // namespace samphire

#endif  // STEERING_HUGE_PAGE_ALLOCATOR_H_
