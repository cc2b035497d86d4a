#ifndef GATEWAY_RETRY_BUDGETS_H_
#define GATEWAY_RETRY_BUDGETS_H_

#include <map>
#include <string>

#include "base/clock_source.h"
#include "base/sharded.h"
#include "decision/retry_budget.h"

namespace samphire {

// The retry budget of each service of one entry.
class retry_budgets {
 public:
  void OnFirstAttempt(const std::string& service,
                      std::uint32_t percent,
                      time_point now);
  bool Allows(const std::string& service, time_point now);
  void Spend(const std::string& service, time_point now);

 private:
  using budget_map = std::map<std::string, retry_budget>;

  static retry_budget& Of(budget_map& budgets, const std::string& service);

  sharded<budget_map> budgets_;
};

}  // namespace samphire

#endif  // GATEWAY_RETRY_BUDGETS_H_
