#ifndef HISTORY_TARGET_LEAVING_H_
#define HISTORY_TARGET_LEAVING_H_

#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// Event: a drain of a target began (`leaving`), or was undone.
struct target_leaving {
  static constexpr std::string_view kName = "target-leaving";
  history_time time_us = 0;
  std::string target{};
  bool leaving = true;

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("target", self.target);
    field("leaving", self.leaving);
  }
};

}  // namespace samphire

#endif  // HISTORY_TARGET_LEAVING_H_
