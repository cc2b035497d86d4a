#ifndef ROUTING_RETRY_SHARE_H_
#define ROUTING_RETRY_SHARE_H_

#include <cstddef>

namespace samphire {

// One entry's part of a retry_bound that holds for all entries together.
struct retry_share {
  // Entries among which the slack is divided; 0 if not known.
  std::size_t entries = 0;
  // Whether an earlier process of this instance may have used its part in the
  // same window of time.
  bool may_overlap = false;
};

}  // namespace samphire

#endif  // ROUTING_RETRY_SHARE_H_
