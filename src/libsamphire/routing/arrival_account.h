#ifndef ROUTING_ARRIVAL_ACCOUNT_H_
#define ROUTING_ARRIVAL_ACCOUNT_H_

#include <cstdint>

#include "base/clock_source.h"
#include "proxy/connection_use.h"
#include "routing/arrival_cause.h"
#include "routing/retry_bound.h"
#include "routing/retry_share.h"
#include "routing/retry_window.h"
#include "routing/sent_request.h"

namespace samphire {

// Counts how often one request reaches targets, and pays for each time beyond
// the first with a retry of its service, before the request is sent. Whatever
// sends a request to a target is counted here. Not thread-safe.
class arrival_account {
 public:
  // Pays for the next send. That is free if no target has received the request
  // yet, or if the send that was paid for last did not reach its target.
  // Returns false if the service's retries are used up.
  bool PayForNext(retry_window& retries,
                  const retry_bound& bound,
                  const retry_share& share,
                  time_point now);
  // Reports a send, and returns its cause.
  arrival_cause OnSent(const sent_request& sent);
  // Returns on which connections the request may be sent, which may run on
  // `max_runs` targets. `may_retry` tells whether the service has a retry left.
  connection_use NextConnection(std::uint32_t max_runs, bool may_retry) const;

  // How often a target may have run the request.
  std::uint32_t runs() const { return runs_; }
  bool may_have_run() const { return runs_ > 0; }

 private:
  std::uint32_t arrivals_ = 0;
  std::uint32_t runs_ = 0;
  bool is_next_paid_ = false;
  // Whether the last send was lost on a connection that may have been stale.
  bool was_stale_ = false;
};

}  // namespace samphire

#endif  // ROUTING_ARRIVAL_ACCOUNT_H_
