#ifndef HISTORY_CONFIG_SEEN_H_
#define HISTORY_CONFIG_SEEN_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// An entry, asked at `asked_us`, said at `time_us` what is in force there.
struct config_seen {
  static constexpr std::string_view kName = "config-seen";
  history_time time_us = 0;
  history_time asked_us = 0;
  std::string entry{};
  std::int64_t version = 0;

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("asked_us", self.asked_us);
    field("entry", self.entry);
    field("version", self.version);
  }
};

}  // namespace samphire

#endif  // HISTORY_CONFIG_SEEN_H_
