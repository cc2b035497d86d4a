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

// What callers of one class got.
struct class_report {
  std::string service;
  std::string request_class;
  std::uint64_t requests = 0;
  // Whole and within the deadline.
  std::uint64_t good = 0;
  // Whole, but too late.
  std::uint64_t late = 0;
  std::uint64_t repeats = 0;
  // Everything else, by the name of its reason.
  std::map<std::string, std::uint64_t> failed{};
  // Of whole answers, counted from when the request was to be sent.
  latency_percentiles latency{};
};

// One second of the run, all classes together.
struct second_report {
  std::uint64_t requests = 0;
  std::uint64_t good = 0;
  latency_percentiles latency{};
};

struct load_report {
  std::string name;
  double run_seconds = 0;
  std::vector<class_report> classes{};
  std::vector<second_report> seconds{};
};

load_report MakeReport(const scenario& plan,
                       const std::vector<request_outcome>& outcomes);

std::string ReportAsText(const load_report& report);
std::string ReportAsJson(const load_report& report);
// Percentiles and goodput over time.
std::string ReportAsSvg(const load_report& report);

}  // namespace samphire

#endif  // EXPERIMENT_LOAD_REPORT_H_
