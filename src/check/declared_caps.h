#ifndef CHECK_DECLARED_CAPS_H_
#define CHECK_DECLARED_CAPS_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "history/history_event.h"

namespace samphire {

// The shift caps of a declaration file as events.
result<std::vector<history_event>> ReadDeclaredCaps(const std::string& path);

}  // namespace samphire

#endif  // CHECK_DECLARED_CAPS_H_
