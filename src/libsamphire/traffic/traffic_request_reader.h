#ifndef TRAFFIC_TRAFFIC_REQUEST_READER_H_
#define TRAFFIC_TRAFFIC_REQUEST_READER_H_

#include "base/result.h"
#include "front/front_request.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Reads a whole request and finds its route: kNoConfiguration, kUnknownPath,
// kUnknownApiKey, kNoCommonRegion, kMalformedRequest, kBodyTooLarge,
// kRequestTooSlow, kCallerGone.
result<traffic_request> ReadTrafficRequest(front_request& request,
                                           const traffic_context& context);

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_REQUEST_READER_H_
