#ifndef STORE_STORE_EVENT_H_
#define STORE_STORE_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "store/value_patch.h"

namespace samphire {

// One write reported by a watch. `version` is the object's new version; 0 means
// that the object was deleted.
struct store_event {
  std::string key;
  std::uint64_t version = 0;
  // The new value, if the source includes values in its events.
  std::optional<std::string> value;
  // How the value differs from an earlier version, if the source told it so.
  std::optional<value_patch> patch = std::nullopt;
};

}  // namespace samphire

#endif  // STORE_STORE_EVENT_H_
