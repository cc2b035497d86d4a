#ifndef TESTS_SOAK_SOAK_FINDING_H_
#define TESTS_SOAK_SOAK_FINDING_H_

#include <string>

namespace samphire {

// A promise that was seen broken, and by what.
struct soak_finding {
  std::string promise;
  std::string detail;
};

}  // namespace samphire

#endif  // TESTS_SOAK_SOAK_FINDING_H_
