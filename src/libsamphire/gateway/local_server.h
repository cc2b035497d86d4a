#ifndef GATEWAY_LOCAL_SERVER_H_
#define GATEWAY_LOCAL_SERVER_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "decision/admission_request.h"
#include "gateway/answer_relay.h"
#include "gateway/gate_set.h"
#include "gateway/guarded_quarantine.h"
#include "gateway/region_server.h"
#include "gateway/retry_budgets.h"
#include "ledger/ledger.h"
#include "metrics/metrics.h"

namespace samphire {

// Serves requests at the targets of this entry's own region.
class local_server final : public region_server {
 public:
  local_server(gate_set& gates,
               ledger& reservations,
               guarded_quarantine& quarantine,
               retry_budgets& budgets,
               connection_pool& pool,
               const clock_source& clock,
               metrics& counters);

  serve_end Serve(const caller_request& request,
                  const std::string& region,
                  const caller_watch& caller,
                  answer_sink& sink) override;

 private:
  // One request on its way through its attempts.
  struct progress {
    const caller_request& request;
    const caller_watch& caller;
    answer_sink& sink;
    gate_ptr gate;
    admission_request admission;
    std::optional<reservation_ticket> ticket;
    std::uint32_t attempts = 0;
    bool may_have_run = false;
    // A crash can only be laid at the door of a request that was alone on its
    // connection, so after a stale one it gets a new one each time.
    bool fresh_connection = false;
  };

  // A note if the request ends here without a slot.
  std::optional<serve_end> Reserve(progress& state);
  std::optional<response_status> CheckQuarantine(progress& state);
  void AvoidLostTargets(progress& state);
  serve_end Attempt(progress& state);
  relay_end RunOn(progress& state, const slot_grant& grant);
  // Whether the end was final; otherwise the next attempt is prepared.
  std::optional<serve_end> Conclude(progress& state,
                                    const slot_grant& grant,
                                    relay_end end);
  serve_end Deliver(progress& state, relay_end end);
  // Tells the ledger, then what the caller is told.
  serve_end GiveUp(progress& state,
                   result_code code,
                   run_state run,
                   milliseconds retry_after);
  serve_end Replay(progress& state, const replay& found);
  response_status Note(const progress& state,
                       result_code code,
                       run_state run) const;

  gate_set& gates_;
  ledger& ledger_;
  guarded_quarantine& quarantine_;
  retry_budgets& budgets_;
  connection_pool& pool_;
  const clock_source& clock_;
  metrics& metrics_;
  std::atomic<std::uint64_t> next_id_{1};
};

}  // namespace samphire

#endif  // GATEWAY_LOCAL_SERVER_H_
