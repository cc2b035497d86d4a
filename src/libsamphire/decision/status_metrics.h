#ifndef DECISION_STATUS_METRICS_H_
#define DECISION_STATUS_METRICS_H_

#include <string_view>

#include "decision/dispatcher_status.h"
#include "metrics/metrics.h"

namespace samphire {

// Sets the gauges that show the status of one service's dispatcher, labelled
// with the name of the service.
void PublishStatus(metrics& registry,
                   std::string_view service,
                   const dispatcher_status& status);

}  // namespace samphire

#endif  // DECISION_STATUS_METRICS_H_
