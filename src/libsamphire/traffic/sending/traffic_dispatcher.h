#ifndef TRAFFIC_SENDING_TRAFFIC_DISPATCHER_H_
#define TRAFFIC_SENDING_TRAFFIC_DISPATCHER_H_

#include <optional>
#include <string>

#include "gateway/response_sink.h"
#include "proxy/caller_watch.h"
#include "proxy/connection_use.h"
#include "routing/arrival_account.h"
#include "traffic/limits/team_permit.h"
#include "traffic/placing/placed_request.h"
#include "traffic/placing/request_placer.h"
#include "traffic/sending/dispatch_log.h"
#include "traffic/sending/dispatch_progress.h"
#include "traffic/sending/target_exchange_end.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Makes the attempts of one request and sends the final response to its caller.
// Created for each request and used by the thread that handles it. `context`,
// `request`, `caller` and `sink` must outlive the dispatcher.
class traffic_dispatcher {
 public:
  traffic_dispatcher(traffic_context& context,
                     traffic_request& request,
                     const caller_watch& caller,
                     response_sink& sink);

  // Blocks until the request is finished.
  void Run();

 private:
  // Chooses one of the services among which the request's route is split by
  // weight.
  std::string ChooseService() const;
  // Makes one attempt. Returns whether to make another one.
  bool MakeAttempt();
  // Finishes the request and returns false if it is not to run because requests
  // like it were lost with their targets.
  bool PassesQuarantine();
  // Sends the request to the target once, and reports that to the quarantine.
  target_exchange_end Exchange(const live_target& target);
  // Takes a permit if the team has a limit and none is held. Finishes the
  // request and returns false if it is refused.
  bool TakePermit();
  // Whether the response would come before the entry ends.
  bool CanKeep() const;
  // Whether the API key still belongs to the same team in the current manifest.
  bool IsApiKeyValid() const;
  // Counts the attempt if it reached its target, and logs that unless it was
  // the first to do so.
  void CountArrival(const target_exchange_end& end);
  // Returns on which connections the next attempt may be made.
  connection_use ChooseConnection();
  // Reports the end of an attempt to the entry that placed it and logs it.
  void ReportAttemptEnd(const placed_request& placed,
                        const target_exchange_end& end);
  // Returns what the end of the attempt tells about its target.
  attempt_end EvidenceOf(const placed_request& placed,
                         const target_exchange_end& end) const;
  // Returns whether another target may be tried after `end`, and pays for that.
  bool MayRetry(const target_exchange_end& end);
  // Calls `use` with the service's retries, their bound and this entry's share
  // of it, while holding the service's lock.
  template <typename F>
  bool WithRetries(F use);
  void FinishWithoutAttempt(result_code code, milliseconds retry_after);
  // Sends the final response: that of `end`, that of an earlier attempt or a
  // refusal.
  void Finish(target_exchange_end end);
  void Refuse(result_code code, milliseconds retry_after);

  traffic_context& context_;
  traffic_request& request_;
  const caller_watch& caller_;
  response_sink& sink_;
  request_placer placer_;
  const dispatch_log log_;
  // A granted permit that no run has used yet.
  std::optional<team_permit> permit_;
  arrival_account arrivals_;
  dispatch_progress progress_;
  // The last error response of a target, which is forwarded if no other attempt
  // succeeds.
  std::optional<buffered_response> failure_;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_TRAFFIC_DISPATCHER_H_
