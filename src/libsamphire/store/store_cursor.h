#ifndef STORE_STORE_CURSOR_H_
#define STORE_STORE_CURSOR_H_

#include <compare>
#include <cstdint>

namespace samphire {

// A position in the history of the platform's store. When the store comes back
// from a copy, its revisions go back and are given out again, and its era
// rises: revisions of two eras can't be compared, but cursors can.
struct store_cursor {
  std::uint64_t era = 0;
  // 0 for no position.
  std::uint64_t revision = 0;

  constexpr store_cursor() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): a revision is a cursor of a
  // store that never comes back from a copy.
  constexpr store_cursor(std::uint64_t position, std::uint64_t in_era = 0)
      : era(in_era), revision(position) {}

  constexpr bool IsSet() const { return revision != 0; }

  friend constexpr bool operator==(const store_cursor&,
                                   const store_cursor&) = default;
  friend constexpr std::strong_ordering operator<=>(const store_cursor& a,
                                                    const store_cursor& b) {
    const auto by_era = a.era <=> b.era;
    return std::is_neq(by_era) ? by_era : a.revision <=> b.revision;
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(era, revision);
  }
};

}  // namespace samphire

#endif  // STORE_STORE_CURSOR_H_
