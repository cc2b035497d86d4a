#ifndef TESTS_SOAK_ARRIVAL_CHECK_H_
#define TESTS_SOAK_ARRIVAL_CHECK_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock_source.h"
#include "routing/retry_bound.h"

namespace samphire {

// Times of the requests for one service and of their arrivals at its targets,
// by request ID.
struct service_arrivals {
  std::map<std::string, time_point> requests;
  std::multimap<std::string, time_point> arrivals;
};

// Returns a description of the first window of time in which more requests
// arrived again than `bound` allows; nothing if there is none.
std::optional<std::string> FindExcessOfRepeats(const service_arrivals& service,
                                               const retry_bound& bound);

}  // namespace samphire

#endif  // TESTS_SOAK_ARRIVAL_CHECK_H_
