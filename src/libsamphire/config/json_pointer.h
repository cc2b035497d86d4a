#ifndef CONFIG_JSON_POINTER_H_
#define CONFIG_JSON_POINTER_H_

#include <string>
#include <string_view>

namespace samphire {

// Returns one reference token of a JSON pointer (RFC 6901): "/" followed by the
// escaped name.
std::string JsonPointerToken(std::string_view name);

}  // namespace samphire

#endif  // CONFIG_JSON_POINTER_H_
