#ifndef TESTS_SOAK_SOAK_ENVIRONMENT_H_
#define TESTS_SOAK_SOAK_ENVIRONMENT_H_

namespace samphire {

// Returns an integer variable of the environment, for runs of other seeds and
// sizes by hand.
int ReadSoakEnvironment(const char* name, int default_value);

}  // namespace samphire

#endif  // TESTS_SOAK_SOAK_ENVIRONMENT_H_
