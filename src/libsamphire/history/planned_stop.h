#ifndef HISTORY_PLANNED_STOP_H_
#define HISTORY_PLANNED_STOP_H_

#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// Event: a planned stop of an entry or a target began, or is over.
struct planned_stop {
  static constexpr std::string_view kName = "planned-stop";
  history_time time_us = 0;
  // IP:PORT of the entry or "SERVICE/NAME" of the target.
  std::string subject{};
  bool over = false;

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("subject", self.subject);
    field("over", self.over);
  }
};

}  // namespace samphire

#endif  // HISTORY_PLANNED_STOP_H_
