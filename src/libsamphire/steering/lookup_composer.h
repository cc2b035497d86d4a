#ifndef STEERING_LOOKUP_COMPOSER_H_
#define STEERING_LOOKUP_COMPOSER_H_

#include "config/ip_address.h"
#include "steering/entry_directory.h"
#include "steering/lookup_response.h"
#include "steering/lookup_snapshot.h"

namespace samphire {

// Composes the response for a caller at the address `caller`: entries of its
// home region first, then of the other regions by latency. Entries with the
// same configuration and view of the members give a caller the same response.
// Without entries in `directory` the response lists none. Thread-safe, since it
// only reads its arguments.
lookup_response ComposeLookupResponse(const lookup_snapshot& snapshot,
                                      const entry_directory& directory,
                                      const ip_address& caller);

}  // namespace samphire

#endif  // STEERING_LOOKUP_COMPOSER_H_
