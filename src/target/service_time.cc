#include "service_time.h"

namespace samphire {

duration ServiceTime(const worker_behavior& behavior,
                     double draw,
                     double long_draw,
                     std::uint64_t served,
                     std::uint32_t in_flight,
                     std::uint32_t slots) {
  double factor = behavior.slow_factor * (0.5 + draw);
  if (long_draw < behavior.long_share)
    factor *= behavior.long_factor;
  if (served < behavior.cold_requests)
    factor *= behavior.cold_factor;
  if (in_flight > slots && slots > 0)
    factor *= static_cast<double>(in_flight) / slots;
  return std::chrono::duration_cast<duration>(behavior.mean_service * factor);
}

}  // namespace samphire
