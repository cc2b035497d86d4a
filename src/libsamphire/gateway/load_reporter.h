#ifndef GATEWAY_LOAD_REPORTER_H_
#define GATEWAY_LOAD_REPORTER_H_

#include <vector>

#include "gateway/gate_set.h"
#include "membership/member_digest.h"
#include "metrics/metrics.h"

namespace samphire {

// Reports the load of all gates, by gossip and as metrics. Thread-safe.
class load_reporter {
 public:
  load_reporter(gate_set& gates, metrics& counters);

  // Returns free slots and queue lengths by service, for gossip; at most
  // kMaxServiceLoads services.
  std::vector<service_load> Loads();
  // Sets the gauges of all services to their present values.
  void SetGauges();

 private:
  gate_set& gates_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_LOAD_REPORTER_H_
