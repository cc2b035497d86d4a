#include "routing/recent_peak.h"

namespace samphire {

std::size_t recent_peak::Add(std::size_t value, time_point now) {
  while (!peaks_.empty() && peaks_.back().second <= value)
    peaks_.pop_back();
  peaks_.emplace_back(now, value);
  while (now - peaks_.front().first > window_)
    peaks_.pop_front();
  return peaks_.front().second;
}

}  // namespace samphire
