#ifndef EXPERIMENT_LOAD_REPORT_H_
#define EXPERIMENT_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "experiment/latency_percentiles.h"
#include "experiment/request_outcome.h"
#include "experiment/scenario.h"

namespace samphire {

// Results of all requests of one stream (a service and request class).
struct class_report {
  std::string service;
  std::string request_class;
  std::uint64_t requests = 0;
  // Complete answers within the deadline.
  std::uint64_t good = 0;
  // Complete answers after the deadline.
  std::uint64_t late = 0;
  // Attempts beyond the first of each request.
  std::uint64_t retries = 0;
  // All other requests, counted by the name of the reason.
  std::map<std::string, std::uint64_t> failed{};
  // Of complete answers only, measured from the time at which the request was
  // to be sent, so that delays of the sender are included.
  latency_percentiles latency{};
};

// Results of all classes for the requests that were to be sent in one second of
// the run. `good` and `latency` are counted as in class_report.
struct second_report {
  std::uint64_t requests = 0;
  std::uint64_t good = 0;
  latency_percentiles latency{};
};

// Results of a run of a scenario, by class and by second.
struct load_report {
  std::string name;
  // Planned duration of the run.
  double run_seconds = 0;
  std::vector<class_report> classes{};
  std::vector<second_report> seconds{};
};

// Aggregates the outcomes of a run of `plan`. Each outcome must lie within the
// run time and refer to a stream of the plan.
load_report MakeReport(const scenario& plan,
                       const std::vector<request_outcome>& outcomes);

// Formats the classes as a table for people; latencies in milliseconds.
std::string ReportAsText(const load_report& report);
// Formats the whole report as one JSON object.
std::string ReportAsJson(const load_report& report);
// Draws p50 and p99 latency, the send rate and the goodput over time.
std::string ReportAsSvg(const load_report& report);

}  // namespace samphire

#endif  // EXPERIMENT_LOAD_REPORT_H_
