#ifndef TRAFFIC_TRAFFIC_DISPATCHER_H_
#define TRAFFIC_TRAFFIC_DISPATCHER_H_

#include <optional>
#include <string>

#include "gateway/answer_sink.h"
#include "proxy/caller_watch.h"
#include "routing/placement_result.h"
#include "traffic/placed_request.h"
#include "traffic/request_placer.h"
#include "traffic/target_exchange_end.h"
#include "traffic/team_permit.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Brings one request through its attempts to its final answer.
class traffic_dispatcher {
 public:
  traffic_dispatcher(traffic_context& context,
                     const traffic_request& request,
                     const caller_watch& caller,
                     answer_sink& sink);

  void Run();

 private:
  // The service among which the request's route is divided that gets it.
  std::string ChooseService() const;
  // Makes one attempt. Returns whether to make another one.
  bool Attempt();
  // Takes a permit if the team has a limit and none is held. Finishes the
  // request and returns false if it is refused.
  bool TakePermit();
  // Whether the API key still belongs to the same team in the current manifest.
  bool IsApiKeyValid() const;
  void Report(const placed_request& placed, const target_exchange_end& end);
  // Whether another target may be tried after `end`.
  bool MayTryAgain(const target_exchange_end& end);
  void FinishWithoutAttempt(result_code code, milliseconds retry_after);
  void Finish(target_exchange_end end);
  void Refuse(result_code code, milliseconds retry_after);
  void LogAttempt(const placed_request& placed,
                  const target_exchange_end& end) const;
  void LogOutcome(result_code code, int status) const;
  void LogNoPermit(const team_permit& permit) const;
  void LogNoPlace(const placement_refusal& refusal,
                  const std::string& owner) const;

  traffic_context& context_;
  const traffic_request& request_;
  const caller_watch& caller_;
  answer_sink& sink_;
  request_placer placer_;
  // A granted permit that no run has used yet.
  std::optional<team_permit> permit_;
  std::uint32_t attempts_ = 0;
  std::string last_target_;
  // Targets that may have run the request.
  std::uint32_t runs_ = 0;
  bool may_have_run_ = false;
  // A target's own failure, for the case that no other attempt does better.
  std::optional<held_answer> failure_;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_DISPATCHER_H_
