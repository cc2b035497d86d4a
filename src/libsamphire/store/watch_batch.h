#ifndef STORE_WATCH_BATCH_H_
#define STORE_WATCH_BATCH_H_

#include <string>
#include <vector>

#include "store/store_cursor.h"
#include "store/store_event.h"

namespace samphire {

// The result of a watch. `cursor` is where the next watch continues; `reset`
// means that events were lost and everything has to be read again, or that the
// events are a full listing.
struct watch_batch {
  store_cursor cursor;
  bool reset = false;
  std::vector<store_event> events;
  // Who returned it: the address of a peer, or "platform"; for logs.
  std::string source = {};
  // Whether the source vouches that nothing had changed since the cursor when
  // it returned the batch, or a moment before.
  bool confirmed = true;
};

}  // namespace samphire

#endif  // STORE_WATCH_BATCH_H_
