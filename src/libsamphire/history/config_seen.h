#ifndef HISTORY_CONFIG_SEEN_H_
#define HISTORY_CONFIG_SEEN_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// Event: an entry, asked at `asked_us`, reported at `time_us` the version of
// the configuration that is in force there.
struct config_seen {
  static constexpr std::string_view kName = "config-seen";
  history_time time_us = 0;
  history_time asked_us = 0;
  // IP:PORT of the entry.
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
