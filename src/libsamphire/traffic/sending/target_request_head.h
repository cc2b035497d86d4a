#ifndef TRAFFIC_SENDING_TARGET_REQUEST_HEAD_H_
#define TRAFFIC_SENDING_TARGET_REQUEST_HEAD_H_

#include <Poco/Net/HTTPRequest.h>

#include "routing/live_target.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Returns the head with which `request` is sent to `target` now: the caller's
// end-to-end headers, the time that is left, the team and the framing of the
// body.
Poco::Net::HTTPRequest MakeTargetHead(const traffic_context& context,
                                      const traffic_request& request,
                                      const live_target& target);

}  // namespace samphire

#endif  // TRAFFIC_SENDING_TARGET_REQUEST_HEAD_H_
