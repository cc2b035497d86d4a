#include "gateway/retry_budgets.h"

namespace samphire {

retry_budget& retry_budgets::Of(budget_map& budgets,
                                const std::string& service) {
  return budgets.try_emplace(service, 0U).first->second;
}

void retry_budgets::OnFirstAttempt(const std::string& service,
                                   std::uint32_t percent,
                                   time_point now) {
  budgets_.With(service, [&](budget_map& budgets) {
    auto& budget = Of(budgets, service);
    budget.SetPercent(percent);
    budget.OnFirstAttempt(now);
  });
}

bool retry_budgets::Allows(const std::string& service, time_point now) {
  return budgets_.With(service, [&](budget_map& budgets) {
    return Of(budgets, service).Allows(now);
  });
}

void retry_budgets::Spend(const std::string& service, time_point now) {
  budgets_.With(service,
                [&](budget_map& budgets) { Of(budgets, service).Spend(now); });
}

}  // namespace samphire
