#ifndef GATEWAY_SERVE_RESULT_H_
#define GATEWAY_SERVE_RESULT_H_

#include <variant>

#include "front/response_status.h"

namespace samphire {

// A response was sent to the caller, complete or not.
struct response_sent {};

// Nothing has been sent yet. The status is the refusal that the caller gets
// unless another region is tried first.
struct serve_failure {
  response_status status;
};

// How serving a request in one region ended.
using serve_result = std::variant<response_sent, serve_failure>;

}  // namespace samphire

#endif  // GATEWAY_SERVE_RESULT_H_
