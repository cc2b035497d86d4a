#ifndef STORE_STORE_EVENT_H_
#define STORE_STORE_EVENT_H_

#include <cstdint>
#include <string>

namespace samphire {

// One write that a watch tells of; `version` 0 means that the object is gone.
struct store_event {
  std::string key;
  std::uint64_t version = 0;
};

}  // namespace samphire

#endif  // STORE_STORE_EVENT_H_
