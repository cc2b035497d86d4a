#ifndef ROUTING_RATE_LIMIT_H_
#define ROUTING_RATE_LIMIT_H_

namespace samphire {

// A limit on requests that all entries share, such as one of a team.
struct rate_limit {
  // Requests per second; 0 for no limit.
  double rate = 0;
  // Requests that may run at once after an idle period.
  double burst = 0;

  bool IsSet() const { return rate > 0; }
};

}  // namespace samphire

#endif  // ROUTING_RATE_LIMIT_H_
