#include "traffic/traffic_membership.h"

#include <algorithm>

namespace samphire {

namespace {

// Time for which a suspected entry may refute the suspicion before it is
// declared failed. Look-ups cease to name it as soon as it is suspected.
constexpr milliseconds kSuspicionTimeout{2500};
// Steps of a watch's sweep after the first one, in a region of 120 entries.
constexpr int kSweepSteps = 3;
// Part of the bound that is left for ticks and for the news to reach the last
// entry when some of its messages are lost.
constexpr milliseconds kSpreadTime{2000};
// With shorter times, pauses of a process would pass for its end.
constexpr double kMinScale = 0.25;

}  // namespace

// An entry that ends is pinged within the watch interval, or as many steps of a
// sweep later as there are others lost before it in the ring, and is suspected
// the probe timeout after that. These times are shortened alike if the bound
// requires it.
membership_options TrafficMembershipOptions(milliseconds unlisting_time) {
  membership_options options;
  options.suspicion_timeout = kSuspicionTimeout;
  const auto detection = options.watch_interval +
                         kSweepSteps * options.direct_probe_timeout +
                         options.probe_timeout;
  const auto available =
      std::chrono::duration<double>(unlisting_time - kSpreadTime);
  const double scale = std::clamp(available / detection, kMinScale, 1.0);
  const auto shorten = [scale](milliseconds& time) {
    time = milliseconds(
        static_cast<std::int64_t>(static_cast<double>(time.count()) * scale));
  };
  shorten(options.watch_interval);
  shorten(options.direct_probe_timeout);
  shorten(options.probe_timeout);
  return options;
}

}  // namespace samphire
