#ifndef GATEWAY_TARGET_REQUEST_H_
#define GATEWAY_TARGET_REQUEST_H_

#include <string>

#include "base/clock_source.h"
#include "gateway/caller_request.h"
#include "gateway/outgoing_request.h"

namespace samphire {

// The request as a target gets it: the caller's, less what belongs to its
// connection, with the time that is left.
outgoing_request MakeTargetRequest(const caller_request& request,
                                   const std::string& address,
                                   time_point now);

}  // namespace samphire

#endif  // GATEWAY_TARGET_REQUEST_H_
