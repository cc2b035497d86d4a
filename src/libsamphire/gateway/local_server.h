#ifndef GATEWAY_LOCAL_SERVER_H_
#define GATEWAY_LOCAL_SERVER_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "decision/admission_request.h"
#include "gateway/fleet_quarantine.h"
#include "gateway/gate_set.h"
#include "gateway/region_server.h"
#include "gateway/response_relay.h"
#include "gateway/retry_budgets.h"
#include "ledger/ledger.h"
#include "metrics/metrics.h"

namespace samphire {

// Serves requests at the targets of this entry's own region: reserves in the
// ledger where needed, waits for a slot, runs attempts and retries them. Serve
// may be called by several threads at once; it blocks until the request has
// ended.
class local_server final : public region_server {
 public:
  local_server(gate_set& gates,
               ledger& reservations,
               fleet_quarantine& quarantine,
               retry_budgets& budgets,
               connection_pool& pool,
               const clock_source& clock,
               metrics& counters);

  serve_result Serve(const caller_request& request,
                     const std::string& region,
                     const caller_watch& caller,
                     response_sink& sink) override;

 private:
  // State of one request while it is being served.
  struct progress {
    const caller_request& request;
    const caller_watch& caller;
    response_sink& sink;
    // Null if the service has no gate in this region.
    gate_ptr gate;
    admission_request admission;
    // Set for a request that may not be repeated.
    std::optional<reservation_ticket> ticket;
    std::uint32_t attempts = 0;
    // Whether an attempt has ended without proof that it did not run.
    bool may_have_run = false;
    // Whether an attempt was lost on a connection that may have been stale.
    // Each further one then uses a new connection.
    bool was_stale = false;
  };

  // Reserves the idempotency key. Returns a result if the request ends here: it
  // is replayed, in progress elsewhere, in doubt or refused.
  std::optional<serve_result> Reserve(progress& state);
  // Applies the quarantine decision to the admission request. Returns a status
  // if the request may not run.
  std::optional<response_status> CheckQuarantine(progress& state);
  // Excludes the failure domains of the targets that were lost with this
  // request.
  void AvoidLostTargets(progress& state);
  // Runs attempts until the request has ended.
  serve_result RunAttempts(progress& state);
  // Returns on which connections the next attempt may be made.
  connection_use ChooseConnection(const progress& state);
  // Runs one attempt on the granted slot, and releases the slot.
  relay_result RunAttempt(progress& state, const slot_grant& grant);
  // Returns the result if the attempt was the last; otherwise prepares the next
  // attempt.
  std::optional<serve_result> Conclude(progress& state,
                                       const slot_grant& grant,
                                       relay_result end);
  // Sends the target's response, unless it was streamed already, and records it
  // in the ledger.
  serve_result Deliver(progress& state, relay_result end);
  // Settles the reservation according to whether the request may have run, and
  // returns what the caller is to be told.
  serve_result Fail(progress& state,
                    result_code code,
                    run_state run,
                    milliseconds retry_after);
  // Sends the recorded response of an earlier request with the same key.
  serve_result Replay(progress& state, const replay& found);
  response_status MakeStatus(const progress& state,
                             result_code code,
                             run_state run) const;

  gate_set& gates_;
  ledger& ledger_;
  fleet_quarantine& quarantine_;
  retry_budgets& budgets_;
  connection_pool& pool_;
  const clock_source& clock_;
  metrics& metrics_;
  // Source of admission request ids, unique per attempt.
  std::atomic<std::uint64_t> next_id_{1};
};

}  // namespace samphire

#endif  // GATEWAY_LOCAL_SERVER_H_
