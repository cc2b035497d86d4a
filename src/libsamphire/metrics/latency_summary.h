#ifndef METRICS_LATENCY_SUMMARY_H_
#define METRICS_LATENCY_SUMMARY_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstddef>

#include "base/clock_source.h"

namespace samphire {

// Computes count, sum, maximum and estimated quantiles of a stream of latencies
// in constant memory. Times are in seconds, and 0 while there are no latencies.
// Not thread-safe.
class latency_summary {
 public:
  latency_summary();

  void Add(duration latency);

  std::size_t count() const;
  double sum_seconds() const;
  double max_seconds() const;
  // Returns the estimate for one of 0.5, 0.9, 0.99, 0.999; for any other
  // probability, the maximum.
  double quantile_seconds(double probability) const;

 private:
  boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>
      set_;
};

}  // namespace samphire

#endif  // METRICS_LATENCY_SUMMARY_H_
