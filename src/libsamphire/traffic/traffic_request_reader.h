#ifndef TRAFFIC_TRAFFIC_REQUEST_READER_H_
#define TRAFFIC_TRAFFIC_REQUEST_READER_H_

#include "base/result.h"
#include "front/front_request.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Reads a request up to the first 128 KiB of its body, finds its route and
// authenticates its team. Blocks until that part of the body has arrived. Fails
// with kNoConfiguration, kUnknownPath, kUnknownApiKey, kNoCommonRegion,
// kMalformedRequest, kBodyTooLarge, kRequestTooSlow or kCallerGone. `request`
// must outlive the result, which reads the rest of a longer body from it.
result<traffic_request> ReadTrafficRequest(front_request& request,
                                           const traffic_context& context);

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_REQUEST_READER_H_
