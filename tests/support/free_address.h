#ifndef TESTS_SUPPORT_FREE_ADDRESS_H_
#define TESTS_SUPPORT_FREE_ADDRESS_H_

#include <string>

namespace samphire {

// Returns IP:PORT with a TCP port that was free when it was checked, and that
// this process has not returned before, unless all ports have been tried.
// Thread-safe. Throws std::runtime_error if no port is free.
std::string FreeAddress(const std::string& ip = "127.0.0.1");

}  // namespace samphire

#endif  // TESTS_SUPPORT_FREE_ADDRESS_H_
