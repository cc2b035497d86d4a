#ifndef LEDGER_RESERVATION_HOLDER_H_
#define LEDGER_RESERVATION_HOLDER_H_

#include <cstdint>
#include <string>

#include "base/bounded_codec.h"

namespace samphire {

// The process that holds a reservation: the only one that may dispatch its
// request.
struct reservation_holder {
  std::string instance;
  // Differs between processes that run under the same instance name one after
  // another.
  std::uint64_t incarnation = 0;

  bool operator==(const reservation_holder&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<255>(instance), incarnation);
  }
};

}  // namespace samphire

#endif  // LEDGER_RESERVATION_HOLDER_H_
