#ifndef GATEWAY_RETRY_BUDGETS_H_
#define GATEWAY_RETRY_BUDGETS_H_

#include <map>
#include <string>

#include "base/clock_source.h"
#include "base/sharded.h"
#include "decision/retry_budget.h"

namespace samphire {

// The retry budgets of the services of one entry, which limit retries to a
// percentage of first attempts. Thread-safe.
class retry_budgets {
 public:
  // Adds to the budget for a first attempt; `percent` is the limit declared
  // now.
  void OnFirstAttempt(const std::string& service,
                      std::uint32_t percent,
                      time_point now);
  // Whether the budget allows one more retry now.
  bool Allows(const std::string& service, time_point now);
  // Charges one retry to the budget.
  void Spend(const std::string& service, time_point now);

 private:
  using budget_map = std::map<std::string, retry_budget>;

  // Returns the budget of the service; creates it if there is none.
  static retry_budget& Of(budget_map& budgets, const std::string& service);

  sharded<budget_map> budgets_;
};

}  // namespace samphire

#endif  // GATEWAY_RETRY_BUDGETS_H_
