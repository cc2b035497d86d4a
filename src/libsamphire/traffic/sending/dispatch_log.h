#ifndef TRAFFIC_SENDING_DISPATCH_LOG_H_
#define TRAFFIC_SENDING_DISPATCH_LOG_H_

#include <string>

#include "base/result_code.h"
#include "routing/placement_result.h"
#include "traffic/limits/team_permit.h"
#include "traffic/placing/placed_request.h"
#include "traffic/placing/request_placer.h"
#include "traffic/sending/dispatch_progress.h"
#include "traffic/sending/target_exchange_end.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Writes the log lines about the attempts and the outcome of one request. What
// it is made with must outlive it.
class dispatch_log {
 public:
  dispatch_log(const traffic_context& context,
               const traffic_request& request,
               const request_placer& placer);

  void Attempt(const placed_request& placed,
               const target_exchange_end& end,
               const dispatch_progress& progress) const;
  // Also counts the request's duration.
  void Outcome(result_code code,
               int status,
               const dispatch_progress& progress) const;
  void PermitRefusal(const team_permit& permit) const;
  // `owner` is the entry that refused the placement; empty for this entry.
  void NoPlacement(const placement_refusal& refusal,
                   const std::string& owner) const;

 private:
  const traffic_context& context_;
  const traffic_request& request_;
  const request_placer& placer_;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_DISPATCH_LOG_H_
