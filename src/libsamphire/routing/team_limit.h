#ifndef ROUTING_TEAM_LIMIT_H_
#define ROUTING_TEAM_LIMIT_H_

namespace samphire {

// The limit on one team's requests, shared by all entries.
struct team_limit {
  // Requests per second; 0 for no limit.
  double rate = 0;
  // Requests that may run at once after an idle period.
  double burst = 0;

  bool IsSet() const { return rate > 0; }
};

}  // namespace samphire

#endif  // ROUTING_TEAM_LIMIT_H_
