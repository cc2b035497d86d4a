#ifndef CONFIG_CLASS_MATCHER_H_
#define CONFIG_CLASS_MATCHER_H_

#include <string_view>

#include "config/service.h"

namespace samphire {

// Returns the most specific class of `declared` that matches a request, or
// nullptr if none matches or if the path is ambiguous, such as one with empty,
// dot or encoded-slash segments. `path` is relative to the service and encoded
// as received; its query is ignored. The result points into `declared`.
// Thread-safe.
const request_class* MatchClass(const service& declared,
                                std::string_view method,
                                std::string_view path);

// Returns whether `path` is valid as the path pattern of a class.
bool IsClassPath(std::string_view path);

}  // namespace samphire

#endif  // CONFIG_CLASS_MATCHER_H_
