#ifndef HISTORY_CONFIG_ACCEPTED_H_
#define HISTORY_CONFIG_ACCEPTED_H_

#include <cstdint>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// Event: the platform accepted a configuration with this version.
struct config_accepted {
  static constexpr std::string_view kName = "config-accepted";
  history_time time_us = 0;
  std::int64_t version = 0;

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("version", self.version);
  }
};

}  // namespace samphire

#endif  // HISTORY_CONFIG_ACCEPTED_H_
