#ifndef GATEWAY_TARGET_REQUEST_H_
#define GATEWAY_TARGET_REQUEST_H_

#include <string>

#include "base/clock_source.h"
#include "gateway/caller_request.h"
#include "gateway/outgoing_request.h"

namespace samphire {

// Returns the request as a target gets it: the caller's, without the headers of
// its connection, with the remaining time in milliseconds, at least 1, as its
// deadline. Refers to the body of `request`, which must outlive it.
outgoing_request MakeTargetRequest(const caller_request& request,
                                   const std::string& address,
                                   time_point now);

}  // namespace samphire

#endif  // GATEWAY_TARGET_REQUEST_H_
