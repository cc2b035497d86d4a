#ifndef LEDGER_RESERVATION_HOLDER_H_
#define LEDGER_RESERVATION_HOLDER_H_

#include <cstdint>
#include <string>

#include "base/bounded_codec.h"

namespace samphire {

// The one process that may dispatch the request of a reservation.
struct reservation_holder {
  std::string instance;
  std::uint64_t incarnation = 0;

  bool operator==(const reservation_holder&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<255>(instance), incarnation);
  }
};

}  // namespace samphire

#endif  // LEDGER_RESERVATION_HOLDER_H_
