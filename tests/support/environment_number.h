#ifndef SUPPORT_ENVIRONMENT_NUMBER_H_
#define SUPPORT_ENVIRONMENT_NUMBER_H_

#include <cstdint>

namespace samphire {

// Returns the number in an environment variable, or `fallback` if it is unset:
// for runs of other seeds and sizes by hand.
std::uint64_t EnvironmentNumber(const char* name, std::uint64_t fallback);

}  // namespace samphire

#endif  // SUPPORT_ENVIRONMENT_NUMBER_H_
