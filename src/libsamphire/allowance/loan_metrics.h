#ifndef ALLOWANCE_LOAN_METRICS_H_
#define ALLOWANCE_LOAN_METRICS_H_

#include <string_view>

#include "allowance/loan_counts.h"
#include "metrics/metrics.h"

namespace samphire {

// Sets the gauges that show one service's loans; each only ever rises.
void PublishLoans(metrics& registry,
                  std::string_view service,
                  const loan_counts& counts);

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_METRICS_H_
