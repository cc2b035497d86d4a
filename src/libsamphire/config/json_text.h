#ifndef CONFIG_JSON_TEXT_H_
#define CONFIG_JSON_TEXT_H_

#include <Poco/JSON/Object.h>

#include <string_view>

#include "base/result.h"

namespace samphire {

// The largest text that is parsed: 8 MiB.
inline constexpr std::size_t kMaxJsonBytes = 8U << 20;
// Bounds the nesting of objects and arrays, and so the recursion over a value.
inline constexpr std::size_t kMaxJsonDepth = 32;
// Bounds the length of one string or key, decoded.
inline constexpr std::size_t kMaxJsonStringBytes = 1024;
// Bounds the number of values of all kinds in a text, and so its memory: a
// parsed value takes up to a kilobyte.
inline constexpr std::size_t kMaxJsonValues = 1 << 17;

// Parses one JSON object within the bounds above and refuses duplicate keys. An
// error holds the line and column or the JSON pointer of the fault.
result<Poco::JSON::Object::Ptr> ReadJsonText(std::string_view text);

}  // namespace samphire

#endif  // CONFIG_JSON_TEXT_H_
