#ifndef MEMBERSHIP_NEW_INCARNATION_H_
#define MEMBERSHIP_NEW_INCARNATION_H_

#include <cstdint>

namespace samphire {

// A number for a process that starts now, higher than that of any that started
// earlier on its instance.
std::uint64_t NewIncarnation();

}  // namespace samphire

#endif  // MEMBERSHIP_NEW_INCARNATION_H_
