#ifndef MEMBERSHIP_NEW_INCARNATION_H_
#define MEMBERSHIP_NEW_INCARNATION_H_

#include <cstdint>

namespace samphire {

// Returns the incarnation of a process that starts now, higher than that of any
// that started earlier on the same instance: the time of day in microseconds.
// May be called by any thread.
std::uint64_t NewIncarnation();

}  // namespace samphire

#endif  // MEMBERSHIP_NEW_INCARNATION_H_
