#ifndef CONFIG_JSON_TEXT_H_
#define CONFIG_JSON_TEXT_H_

#include <Poco/JSON/Object.h>

#include <string_view>

#include "base/result.h"

namespace samphire {

inline constexpr std::size_t kMaxJsonBytes = 8U << 20;
inline constexpr std::size_t kMaxJsonDepth = 32;
inline constexpr std::size_t kMaxJsonStringBytes = 1024;
// Values of all kinds; a parsed value takes up to a kilobyte.
inline constexpr std::size_t kMaxJsonValues = 1 << 17;

// Reads one JSON object strictly. An error tells the line and column
// or the JSON pointer of what is wrong.
result<Poco::JSON::Object::Ptr> ReadJsonText(std::string_view text);

}  // namespace samphire

#endif  // CONFIG_JSON_TEXT_H_
