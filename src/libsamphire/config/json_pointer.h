#ifndef CONFIG_JSON_POINTER_H_
#define CONFIG_JSON_POINTER_H_

#include <string>
#include <string_view>

namespace samphire {

// One step of a JSON pointer (RFC 6901): "/" and the escaped name.
std::string JsonPointerStep(std::string_view name);

}  // namespace samphire

#endif  // CONFIG_JSON_POINTER_H_
