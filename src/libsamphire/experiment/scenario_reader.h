#ifndef EXPERIMENT_SCENARIO_READER_H_
#define EXPERIMENT_SCENARIO_READER_H_

#include <string>

#include "base/result.h"
#include "experiment/scenario.h"

namespace samphire {

// Reads a scenario from its JSON text. A field that is unknown, missing, of the
// wrong type or out of range is an error (kUnknownField or kSchemaViolation)
// with the JSON pointer of the value; malformed JSON is kJsonSyntax.
result<scenario> ReadScenario(const std::string& text);

}  // namespace samphire

#endif  // EXPERIMENT_SCENARIO_READER_H_
