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

// An event of a history, the record of a test or load run of the system that
// samphire-check judges. Each event type has a kName, which identifies it in
// the file, and lists its stored fields once, in Fields(), for both the writer
// and the reader. Its time_us is the time at which it was recorded.
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

// Returns the time of an event of any type.
inline history_time TimeOf(const history_event& event) {
  return std::visit([](const auto& e) { return e.time_us; }, event);
}

}  // namespace samphire

#endif  // HISTORY_HISTORY_EVENT_H_
