#ifndef LIMITS_LIMIT_RUN_H_
#define LIMITS_LIMIT_RUN_H_

#include <cstdint>

#include "limits/limit_scenario.h"

namespace samphire {

struct limit_report {
  std::uint64_t requests = 0;
  // Requests of teams that are not hot: those that a single token bucket for
  // the whole fleet would grant, and those of them that were refused.
  std::uint64_t conforming = 0;
  std::uint64_t conforming_refused = 0;
  // Requests of hot teams: those that such a bucket would grant, and those that
  // were granted.
  std::uint64_t hot_conforming = 0;
  std::uint64_t hot_granted = 0;
  // The maximum over all teams and windows of the runs in a window, divided by
  // those that the team's limit and the declared tolerances allow.
  double worst_window = 0;
  std::uint64_t messages = 0;
  std::uint64_t inter_region_messages = 0;

  double refused_share() const { return Share(conforming_refused, conforming); }
  double hot_share() const { return Share(hot_granted, hot_conforming); }

 private:
  static double Share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
  }
};

// Runs a scenario in simulated time. The result is deterministic for a seed.
limit_report RunLimitScenario(const limit_scenario& scenario,
                              limit_mechanism mechanism,
                              std::uint64_t seed);

}  // namespace samphire

#endif  // LIMITS_LIMIT_RUN_H_
