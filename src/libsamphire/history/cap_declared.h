#ifndef HISTORY_CAP_DECLARED_H_
#define HISTORY_CAP_DECLARED_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// Event: a shift cap was declared, an upper bound of the requests of callers in
// the region `from` that run in the region `to` at the same time.
struct cap_declared {
  static constexpr std::string_view kName = "cap-declared";
  history_time time_us = 0;
  std::string from{};
  std::string to{};
  std::int64_t max_in_flight = 0;

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("from", self.from);
    field("to", self.to);
    field("max_in_flight", self.max_in_flight);
  }
};

}  // namespace samphire

#endif  // HISTORY_CAP_DECLARED_H_
