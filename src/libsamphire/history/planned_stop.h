#ifndef HISTORY_PLANNED_STOP_H_
#define HISTORY_PLANNED_STOP_H_

#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// A planned stop of an entry (its address) or a target began or was over.
struct planned_stop {
  static constexpr std::string_view kName = "planned-stop";
  history_time time_us = 0;
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
