#ifndef STEERING_KEY_RANGE_H_
#define STEERING_KEY_RANGE_H_

#include "steering/destination.h"

namespace samphire {

// The keys from `first` to `last`, both included, and the destination that a
// look-up of any of them gives.
template <typename Key>
struct key_range {
  Key first{};
  Key last{};
  destination to = kNoDestination;
};

}  // namespace samphire

#endif  // STEERING_KEY_RANGE_H_
