#ifndef TRAFFIC_SENDING_BODY_STATE_H_
#define TRAFFIC_SENDING_BODY_STATE_H_

#include "base/enum_names.h"

namespace samphire {

// What can still be done with the body of a request.
enum class body_state {
  // All of it is buffered: it can be sent any number of times.
  kBuffered,
  // Its start is buffered, and the rest can be sent once.
  kUnread,
  // A send has taken the rest and may have read a part of it.
  kTaken,
  // A send has read the rest to its end.
  kEnded,
};

inline constexpr enum_names<body_state, 4> kBodyStateNames{{
    {body_state::kBuffered, "buffered"},
    {body_state::kUnread, "unread"},
    {body_state::kTaken, "taken"},
    {body_state::kEnded, "ended"},
}};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_BODY_STATE_H_
