#include "experiment/arrival_schedule.h"

#include <algorithm>
#include <random>

namespace samphire {

namespace {

// Appends the arrivals of a Poisson process of constant rate in [from, to). The
// process is memoryless, so that each interval can be generated independently.
void AddConstantRateArrivals(duration from,
                             duration to,
                             double per_second,
                             std::mt19937_64& random,
                             std::vector<duration>& times) {
  if (per_second <= 0)
    return;
  std::exponential_distribution<double> gap(per_second);
  auto at = from;
  while (true) {
    at += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(gap(random)));
    if (at >= to)
      return;
    times.push_back(at);
  }
}

// Returns the arrival times of one stream, which follow its rate steps.
std::vector<duration> ArrivalTimes(const request_stream& stream,
                                   duration run_time,
                                   std::mt19937_64& random) {
  std::vector<duration> times;
  for (std::size_t i = 0; i < stream.rates.size(); ++i) {
    const duration end =
        i + 1 < stream.rates.size()
            ? std::min<duration>(stream.rates[i + 1].at, run_time)
            : run_time;
    AddConstantRateArrivals(stream.rates[i].at, end, stream.rates[i].per_second,
                            random, times);
  }
  return times;
}

}  // namespace

std::vector<arrival> PlanArrivals(const scenario& plan) {
  std::mt19937_64 random(plan.seed);
  std::vector<double> shares;
  for (const auto& group : plan.callers)
    shares.push_back(group.share);
  std::discrete_distribution<std::uint32_t> draw_group(shares.begin(),
                                                       shares.end());
  std::uniform_real_distribution<double> uniform(0, 1);
  std::vector<arrival> arrivals;
  for (std::uint32_t i = 0; i < plan.streams.size(); ++i) {
    for (const auto at : ArrivalTimes(plan.streams[i], plan.run_time, random)) {
      const auto group = draw_group(random);
      const auto sources = plan.callers[group].sources.size();
      arrivals.push_back(
          {.at = at,
           .stream = i,
           .group = group,
           .source = static_cast<std::uint32_t>(random() % sources),
           .abandons = uniform(random) < plan.streams[i].abandon_share});
    }
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const arrival& a, const arrival& b) { return a.at < b.at; });
  for (std::size_t i = 0; i < arrivals.size(); ++i)
    arrivals[i].number = i;
  return arrivals;
}

}  // namespace samphire
