#ifndef STEERING_LOOKUP_COMPOSER_H_
#define STEERING_LOOKUP_COMPOSER_H_

#include "config/ip_address.h"
#include "steering/entry_directory.h"
#include "steering/lookup_answer.h"
#include "steering/lookup_snapshot.h"

namespace samphire {

// The entries that a caller is to use: those of its home region first, then
// those of the next regions by latency.
lookup_answer ComposeLookupAnswer(const lookup_snapshot& snapshot,
                                  const entry_directory& directory,
                                  const ip_address& caller);

}  // namespace samphire

#endif  // STEERING_LOOKUP_COMPOSER_H_
