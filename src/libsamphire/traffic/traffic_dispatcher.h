#ifndef TRAFFIC_TRAFFIC_DISPATCHER_H_
#define TRAFFIC_TRAFFIC_DISPATCHER_H_

#include <optional>
#include <string>
#include <vector>

#include "gateway/answer_sink.h"
#include "proxy/caller_watch.h"
#include "routing/placing.h"
#include "routing/placing_request.h"
#include "traffic/target_exchange_end.h"
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
  // Calls `use` with what this entry knows of the service, under its lock.
  template <typename F>
  auto WithShard(F use) const {
    return context_.shards.services.With(service_, [&](auto& services) {
      const auto& without = context_.settings.without;
      return use(services.try_emplace(service_, without).first->second);
    });
  }
  placing Place();
  void Report(const placed_attempt& attempt, const target_exchange_end& end);
  // Whether another target may be tried after `end`.
  bool MayTryAgain(const target_exchange_end& end);
  void Finish(target_exchange_end end);
  void Refuse(result_code code, milliseconds retry_after);
  void LogAttempt(const placed_attempt& attempt,
                  const target_exchange_end& end) const;
  void LogOutcome(result_code code, int status) const;
  void LogNoPlace(const placing_refusal& refusal) const;
  const traffic_service* Service() const;

  traffic_context& context_;
  const traffic_request& request_;
  const caller_watch& caller_;
  answer_sink& sink_;
  std::string service_;
  placing_request wish_;
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
