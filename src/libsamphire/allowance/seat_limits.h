#ifndef ALLOWANCE_SEAT_LIMITS_H_
#define ALLOWANCE_SEAT_LIMITS_H_

#include "base/clock_source.h"

namespace samphire {

// The times a seat keeper goes by.
struct seat_limits {
  // How often the seats are read while nothing is to be done. A change of
  // members has them read at once, so this only catches what was missed.
  milliseconds idle_every{60'000};
  // While something is to be done: at first, and at most after doubling.
  milliseconds busy_every{500};
  milliseconds busy_at_most{8000};
  // How long the platform's list must lack an instance without a break before
  // it counts as gone: longer than the list's lag.
  milliseconds gone_after{10'000};
  // How long a seat stays vacant before an entry takes more than its share of
  // what all listed entries would take.
  milliseconds patience{5000};
  // By how much each further candidate for a vacant seat holds back.
  milliseconds rank_delay{300};
  // Each entry's own number between 0 and 1: spreads the idle reads.
  double jitter = 0.5;
};

}  // namespace samphire

#endif  // ALLOWANCE_SEAT_LIMITS_H_
