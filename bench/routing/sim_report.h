#ifndef ROUTING_SIM_REPORT_H_
#define ROUTING_SIM_REPORT_H_

#include <cstdint>
#include <map>
#include <string>

namespace samphire {

// Results of the requests of a route, a failure domain or a second.
struct sim_tally {
  std::uint64_t requests = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  // Late responses from a target that did not have the object in memory.
  std::uint64_t late_cold = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;

  // The value of a late response to its caller; one in time has 1.
  static constexpr double kLateValue = 0.2;
  double payoff() const {
    return requests == 0 ? 1
                         : (static_cast<double>(in_time) +
                            kLateValue * static_cast<double>(late)) /
                               static_cast<double>(requests);
  }
};

// The results of one run.
struct sim_report {
  sim_tally all;
  std::map<std::string, sim_tally> by_route;
  // By the callers' failure domain.
  std::map<std::string, sim_tally> by_domain;
  std::map<std::int64_t, sim_tally> by_second;
  std::uint64_t bytes = 0;
  std::uint64_t bytes_between_domains = 0;
  std::uint64_t bytes_between_regions = 0;

  double worst_route() const { return Worst(by_route); }
  double worst_domain() const { return Worst(by_domain); }
  double worst_second() const { return Worst(by_second); }

 private:
  template <typename K>
  static double Worst(const std::map<K, sim_tally>& tallies) {
    double worst = 1;
    for (const auto& [key, tally] : tallies)
      worst = tally.payoff() < worst ? tally.payoff() : worst;
    return worst;
  }
};

}  // namespace samphire

#endif  // ROUTING_SIM_REPORT_H_
