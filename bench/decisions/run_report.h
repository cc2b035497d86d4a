#ifndef DECISIONS_RUN_REPORT_H_
#define DECISIONS_RUN_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result_code.h"
#include "decisions/scenario.h"

namespace samphire {

// What came of one group of a run's requests.
struct group_report {
  std::uint64_t arrived = 0;
  std::uint64_t started = 0;
  std::uint64_t in_time = 0;
  // Started, but not answered by the deadline.
  std::uint64_t late = 0;
  // Slot time of what was answered in time.
  duration useful{0};
  std::vector<duration> waits;
  std::vector<duration> latencies;
  std::map<result_code, std::uint64_t> refused;

  std::uint64_t refused_total() const;
};

// What came of one run.
struct run_report {
  scenario input;
  group_report interactive;
  group_report bulk;
  // Interactive work of the region's own callers, and parts of it.
  group_report home;
  group_report high;
  group_report low;
  group_report shifted;
  std::uint64_t loans = 0;
  std::uint64_t asks = 0;
  std::uint64_t loan_messages = 0;
  // The most requests that ran at once on one target, and of the shift.
  std::uint32_t most_on_target = 0;
  std::uint32_t most_shifted = 0;
  std::uint64_t to_slow_target = 0;
  // Slot time that was on offer.
  duration capacity{0};

  // Useful slot time over that on offer.
  double goodput() const;
};

// The sample at this rank, in milliseconds; 0 without samples.
double QuantileMs(std::vector<duration> samples, double rank);

std::string TableHead();
std::string TableRow(const run_report& report);
std::string JsonLine(const run_report& report);

}  // namespace samphire

#endif  // DECISIONS_RUN_REPORT_H_
