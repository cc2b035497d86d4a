#ifndef STORE_WATCH_BATCH_H_
#define STORE_WATCH_BATCH_H_

#include <cstdint>
#include <vector>

#include "store/store_event.h"

namespace samphire {

// What a watch returned. `cursor` is where the next watch goes on; `reset`
// says that events were lost, so everything must be read anew.
struct watch_batch {
  std::uint64_t cursor = 0;
  bool reset = false;
  std::vector<store_event> events;
};

}  // namespace samphire

#endif  // STORE_WATCH_BATCH_H_
