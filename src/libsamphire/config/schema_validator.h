#ifndef CONFIG_SCHEMA_VALIDATOR_H_
#define CONFIG_SCHEMA_VALIDATOR_H_

#include <Poco/JSON/Object.h>

#include <string_view>

#include "base/result.h"

namespace samphire {

// Checks `value` against a JSON Schema that this program carries, or against
// the part of it that the JSON pointer `part` names. The error names the
// deepest value at fault and the rule that it breaks.
result<void> ValidateBySchema(const Poco::JSON::Object::Ptr& value,
                              std::string_view schema_text,
                              std::string_view part = {});

}  // namespace samphire

#endif  // CONFIG_SCHEMA_VALIDATOR_H_
