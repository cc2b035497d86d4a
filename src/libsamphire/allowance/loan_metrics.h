#ifndef ALLOWANCE_LOAN_METRICS_H_
#define ALLOWANCE_LOAN_METRICS_H_

#include <string_view>

#include "allowance/loan_counts.h"
#include "metrics/metrics.h"

namespace samphire {

// Publishes the loan counters of one service as gauges labelled with the
// service's name. Each of them only ever increases.
void PublishLoans(metrics& registry,
                  std::string_view service,
                  const loan_counts& counts);

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_METRICS_H_
