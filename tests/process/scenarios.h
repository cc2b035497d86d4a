#ifndef TESTS_PROCESS_SCENARIOS_H_
#define TESTS_PROCESS_SCENARIOS_H_

#include <string>

namespace samphire {

// Returns a scenario, as JSON, in which callers of both regions read levels,
// submit claims (some abandon the request and retry it with the same key) and
// download archives for `run_ms` milliseconds. `seed` determines the arrivals.
std::string MixedScenario(int run_ms, int seed = 1);

}  // namespace samphire

#endif  // TESTS_PROCESS_SCENARIOS_H_
