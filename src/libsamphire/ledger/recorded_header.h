#ifndef LEDGER_RECORDED_HEADER_H_
#define LEDGER_RECORDED_HEADER_H_

#include <string>

#include "base/bounded_codec.h"

namespace samphire {

// One header of a recorded response.
struct recorded_header {
  std::string name;
  std::string value;

  bool operator==(const recorded_header&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    // Bounds in bytes.
    archive(Bounded<255>(name), Bounded<1024>(value));
  }
};

}  // namespace samphire

#endif  // LEDGER_RECORDED_HEADER_H_
