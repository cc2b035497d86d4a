#ifndef EXPERIMENT_SCENARIO_READER_H_
#define EXPERIMENT_SCENARIO_READER_H_

#include <string>

#include "base/result.h"
#include "experiment/scenario.h"

namespace samphire {

// A scenario from its JSON text. Anything unknown or out of range is refused
// with the JSON pointer of the value at fault.
result<scenario> ReadScenario(const std::string& text);

}  // namespace samphire

#endif  // EXPERIMENT_SCENARIO_READER_H_
