#ifndef CHECK_DECLARED_CAPS_H_
#define CHECK_DECLARED_CAPS_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "history/history_event.h"

namespace samphire {

// Reads the declaration file at `path` and returns each of its shift caps as a
// cap_declared event with time 0. Fails when the file cannot be read or is
// larger than 16 MiB, and when the declaration is invalid.
result<std::vector<history_event>> ReadDeclaredCaps(const std::string& path);

}  // namespace samphire

#endif  // CHECK_DECLARED_CAPS_H_
