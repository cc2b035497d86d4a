#ifndef CONFIG_CLASS_MATCHER_H_
#define CONFIG_CLASS_MATCHER_H_

#include <string_view>

#include "config/service.h"

namespace samphire {

// The most specific class of `declared` that matches; none for a path that
// could be read in two ways. `path` is below the service, as it was sent; a
// query is passed over.
const request_class* MatchClass(const service& declared,
                                std::string_view method,
                                std::string_view path);

// Whether `path` can be a class's path.
bool IsClassPath(std::string_view path);

}  // namespace samphire

#endif  // CONFIG_CLASS_MATCHER_H_
