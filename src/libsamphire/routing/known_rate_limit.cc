#include "routing/known_rate_limit.h"

#include <utility>

namespace samphire {

// Responses may overtake each other. A response without a limit therefore ends
// it only if its request was sent after the limit was heard.
bool known_rate_limit::OnResponse(std::optional<double> rate,
                                  time_point sent_at,
                                  time_point now) {
  if (!rate && (!rate_ || sent_at < heard_at_))
    return false;
  heard_at_ = now;
  return std::exchange(rate_, rate) != rate;
}

void known_rate_limit::OnReport(std::optional<double> rate,
                                time_point heard_at) {
  if (heard_at <= heard_at_)
    return;
  heard_at_ = heard_at;
  rate_ = rate;
}

}  // namespace samphire
