#ifndef TESTS_SUPPORT_FREE_ADDRESS_H_
#define TESTS_SUPPORT_FREE_ADDRESS_H_

#include <string>

namespace samphire {

// IP:PORT with a port that was free a moment ago.
std::string FreeAddress(const std::string& ip = "127.0.0.1");

}  // namespace samphire

#endif  // TESTS_SUPPORT_FREE_ADDRESS_H_
