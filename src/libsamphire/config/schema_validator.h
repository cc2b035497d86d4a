#ifndef CONFIG_SCHEMA_VALIDATOR_H_
#define CONFIG_SCHEMA_VALIDATOR_H_

#include <Poco/JSON/Object.h>

#include <string_view>

#include "base/result.h"

namespace samphire {

// Validates `value` against a JSON Schema embedded in this program, or against
// the part of the schema at the JSON pointer `part`. The error holds the JSON
// pointer of the most deeply nested invalid value and the violated rule.
// `schema_text` and `part` must have static storage, since parsed schemas are
// cached under these views. Thread-safe.
result<void> ValidateBySchema(const Poco::JSON::Object::Ptr& value,
                              std::string_view schema_text,
                              std::string_view part = {});

}  // namespace samphire

#endif  // CONFIG_SCHEMA_VALIDATOR_H_
