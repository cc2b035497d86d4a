#ifndef TESTS_PROCESS_SCENARIOS_H_
#define TESTS_PROCESS_SCENARIOS_H_

#include <string>

namespace samphire {

// Callers of both regions that read levels, hand in claims (some of them give
// up and hand in again) and download archives for `run_ms`.
std::string MixedScenario(int run_ms, int seed = 1);

}  // namespace samphire

#endif  // TESTS_PROCESS_SCENARIOS_H_
