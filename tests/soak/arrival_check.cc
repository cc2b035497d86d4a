#include "soak/arrival_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "support/sliding_count.h"

namespace samphire {

std::optional<std::string> FindExcessOfRepeats(const service_arrivals& service,
                                               const retry_bound& bound) {
  std::vector<time_point> sent;
  std::vector<time_point> repeated;
  for (const auto& [id, time] : service.requests) {
    sent.push_back(time);
    auto [arrival, end] = service.arrivals.equal_range(id);
    std::vector<time_point> times;
    for (; arrival != end; ++arrival)
      times.push_back(arrival->second);
    std::ranges::sort(times);
    if (!times.empty())
      repeated.insert(repeated.end(), times.begin() + 1, times.end());
  }
  std::ranges::sort(sent);
  std::ranges::sort(repeated);
  sliding_count requests(bound.window);
  sliding_count repeats(bound.window);
  for (const auto time : sent)
    requests.Add(time);
  for (const auto time : repeated)
    repeats.Add(time);
  for (const auto time : repeated) {
    const double allowed = bound.ratio * requests.RecentMax(time) + bound.slack;
    if (repeats.Count(time) > allowed) {
      return fmt::format("{} requests arrived again in {} ms, {:.0f} allowed",
                         repeats.Count(time), bound.window.count(), allowed);
    }
  }
  return std::nullopt;
}

}  // namespace samphire
