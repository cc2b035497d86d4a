#ifndef LEDGER_RESERVATION_NONCE_H_
#define LEDGER_RESERVATION_NONCE_H_

#include <compare>
#include <cstdint>

namespace samphire {

// Identifies one reservation uniquely across all entries: a random number of
// the process and a counter within it.
struct reservation_nonce {
  std::uint64_t process = 0;
  std::uint64_t count = 0;

  auto operator<=>(const reservation_nonce&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(process, count);
  }
};

}  // namespace samphire

#endif  // LEDGER_RESERVATION_NONCE_H_
