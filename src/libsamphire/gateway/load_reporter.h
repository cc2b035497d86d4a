#ifndef GATEWAY_LOAD_REPORTER_H_
#define GATEWAY_LOAD_REPORTER_H_

#include <vector>

#include "gateway/gate_set.h"
#include "membership/member_digest.h"
#include "metrics/metrics.h"

namespace samphire {

// Takes stock of the gates: for gossip, and as gauges.
class load_reporter {
 public:
  load_reporter(gate_set& gates, metrics& counters);

  std::vector<service_load> Loads();
  void SetGauges();

 private:
  gate_set& gates_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_LOAD_REPORTER_H_
