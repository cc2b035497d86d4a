#ifndef GATEWAY_SERVE_END_H_
#define GATEWAY_SERVE_END_H_

#include <variant>

#include "front/response_status.h"

namespace samphire {

// The caller has its answer.
struct answered {};

// Nothing was sent yet; the note says what would be told, so that another
// region can be tried first.
struct unanswered {
  response_status note;
};

using serve_end = std::variant<answered, unanswered>;

}  // namespace samphire

#endif  // GATEWAY_SERVE_END_H_
