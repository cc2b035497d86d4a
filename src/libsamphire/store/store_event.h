#ifndef STORE_STORE_EVENT_H_
#define STORE_STORE_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace samphire {

// One write that a watch tells of; `version` 0 means that the object is gone.
struct store_event {
  std::string key;
  std::uint64_t version = 0;
  // The value, where the platform tells it with the event.
  std::optional<std::string> value;
};

}  // namespace samphire

#endif  // STORE_STORE_EVENT_H_
