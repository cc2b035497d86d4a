#ifndef ROUTING_LAB_REPORT_H_
#define ROUTING_LAB_REPORT_H_

#include <cstdint>
#include <map>
#include <string>

namespace samphire {

// What came of the requests of a route, a failure domain or a second.
struct lab_tally {
  std::uint64_t asked = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  // Of these: the target did not have the object in memory.
  std::uint64_t late_cold = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;

  // What a late answer is worth to its caller, in time being 1.
  static constexpr double kLateWorth = 0.2;
  double payoff() const {
    return asked == 0 ? 1
                      : (static_cast<double>(in_time) +
                         kLateWorth * static_cast<double>(late)) /
                            static_cast<double>(asked);
  }
};

// What a run came to.
struct lab_report {
  lab_tally all;
  std::map<std::string, lab_tally> by_route;
  // Of the callers.
  std::map<std::string, lab_tally> by_domain;
  std::map<std::int64_t, lab_tally> by_second;
  std::uint64_t bytes = 0;
  std::uint64_t bytes_between_domains = 0;
  std::uint64_t bytes_between_regions = 0;

  double worst_route() const { return Worst(by_route); }
  double worst_domain() const { return Worst(by_domain); }
  double worst_second() const { return Worst(by_second); }

 private:
  template <typename K>
  static double Worst(const std::map<K, lab_tally>& tallies) {
    double worst = 1;
    for (const auto& [key, tally] : tallies)
      worst = tally.payoff() < worst ? tally.payoff() : worst;
    return worst;
  }
};

}  // namespace samphire

#endif  // ROUTING_LAB_REPORT_H_
