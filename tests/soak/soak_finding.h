#ifndef TESTS_SOAK_SOAK_FINDING_H_
#define TESTS_SOAK_SOAK_FINDING_H_

#include <string>

namespace samphire {

// A violation of a guarantee of the product: the guarantee's name, and a text
// on the request, entry or log line that violated it.
struct soak_finding {
  std::string guarantee;
  std::string detail;
};

}  // namespace samphire

#endif  // TESTS_SOAK_SOAK_FINDING_H_
