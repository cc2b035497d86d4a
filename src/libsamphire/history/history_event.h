#ifndef HISTORY_HISTORY_EVENT_H_
#define HISTORY_HISTORY_EVENT_H_

#include <variant>

#include "history/cap_declared.h"
#include "history/config_accepted.h"
#include "history/config_seen.h"
#include "history/planned_stop.h"
#include "history/request_answered.h"
#include "history/request_sent.h"
#include "history/run_ended.h"
#include "history/run_shed.h"
#include "history/run_started.h"
#include "history/target_declared.h"
#include "history/target_leaving.h"

namespace samphire {

// Whatever a history holds. Each kind lists its fields once, in Fields(), for
// the writer and the reader alike.
using history_event = std::variant<target_declared,
                                   cap_declared,
                                   run_started,
                                   run_ended,
                                   run_shed,
                                   request_sent,
                                   request_answered,
                                   config_accepted,
                                   config_seen,
                                   target_leaving,
                                   planned_stop>;

inline history_time TimeOf(const history_event& event) {
  return std::visit([](const auto& e) { return e.time_us; }, event);
}

}  // namespace samphire

#endif  // HISTORY_HISTORY_EVENT_H_
