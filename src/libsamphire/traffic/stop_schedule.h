#ifndef TRAFFIC_STOP_SCHEDULE_H_
#define TRAFFIC_STOP_SCHEDULE_H_

#include "base/clock_source.h"

namespace samphire {

// The times of a planned stop, all of them counted from the signal, as the time
// is after which the process is killed. In this order, but for `keep_until`,
// which lies between `requested` and `cut_at`.
struct stop_schedule {
  // When the signal came.
  time_point requested;
  // A request is sent to a target only if its deadline is no later than this,
  // so that its response is not cut.
  time_point keep_until;
  // Until when connections are served at all: by then callers know of the stop.
  time_point serve_until;
  // When requests that were sent before the signal and still run are broken
  // off, so that their callers are told.
  time_point cut_at;
  // When the process ends, whatever is left.
  time_point end_by;
};

// Plans a stop that was requested at `requested`, in a process that is killed
// `grace` later, where callers may use the result of a look-up for
// `lookup_ttl`.
stop_schedule PlanStop(time_point requested,
                       milliseconds grace,
                       milliseconds lookup_ttl);

}  // namespace samphire

#endif  // TRAFFIC_STOP_SCHEDULE_H_
