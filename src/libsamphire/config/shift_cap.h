#ifndef CONFIG_SHIFT_CAP_H_
#define CONFIG_SHIFT_CAP_H_

#include <cstdint>
#include <string>

namespace samphire {

// Limits the requests of callers in region `from` that run concurrently in
// region `to`. The limit starts at `initial` and grows by `ramp_per_s` requests
// per second up to `max_in_flight` while the shift lasts, since the caches in
// the receiving region are cold.
struct shift_cap {
  std::string from;
  std::string to;
  std::uint32_t max_in_flight = 0;
  std::uint32_t initial = 0;
  double ramp_per_s = 0;

  bool operator==(const shift_cap&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_SHIFT_CAP_H_
