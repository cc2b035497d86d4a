#ifndef DECISIONS_RUN_REPORT_H_
#define DECISIONS_RUN_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result_code.h"
#include "decisions/scenario.h"

namespace samphire {

// Outcomes of one group of a run's requests, without those of the warm-up.
struct group_report {
  std::uint64_t arrived = 0;
  std::uint64_t started = 0;
  std::uint64_t in_time = 0;
  // Started, but not completed by the deadline.
  std::uint64_t late = 0;
  // Slot time of the requests that completed by their deadlines, as it would be
  // on a target of usual speed.
  duration useful_slot_time{0};
  // From arrival to the start of each started request, and from arrival to the
  // end of each ended one.
  std::vector<duration> waits;
  std::vector<duration> latencies;
  std::map<result_code, std::uint64_t> refused;

  std::uint64_t refused_total() const;
};

// Results of one run.
struct run_report {
  scenario input;
  group_report interactive;
  group_report bulk;
  // Parts of the interactive requests: those of the region's own callers, those
  // of high and of low priority, and those shifted from the lost region.
  group_report home;
  group_report high;
  group_report low;
  group_report shifted;
  // Over all entries and the whole run: slots borrowed, requests for a loan,
  // and messages of the loan protocol.
  std::uint64_t loans = 0;
  std::uint64_t loan_requests = 0;
  std::uint64_t loan_messages = 0;
  // The highest number of requests that ran at once on any one target, and of
  // shifted requests that ran at once.
  std::uint32_t max_on_target = 0;
  std::uint32_t max_shifted = 0;
  // Requests placed on the first target, the one that slow_factor slows down.
  std::uint64_t sent_to_slow_target = 0;
  // Slot time on offer: all slots times the counted length of the run.
  duration capacity{0};

  // Slot time of requests completed in time, as a share of `capacity`.
  double goodput() const;
};

// Returns the sample at this rank (0 to 1, so 0.99 is the 99th percentile) in
// milliseconds, or 0 without samples.
double QuantileMs(std::vector<duration> samples, double rank);

// The report as text for people: heading and one row for a run, each with its
// line break.
std::string TableHead();
std::string TableRow(const run_report& report);
// The report as one JSON object, without a line break.
std::string JsonLine(const run_report& report);

}  // namespace samphire

#endif  // DECISIONS_RUN_REPORT_H_
