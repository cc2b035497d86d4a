#ifndef FRONT_HEAD_WAIT_H_
#define FRONT_HEAD_WAIT_H_

#include <Poco/Net/StreamSocket.h>

#include "base/result_code.h"
#include "front/front_control.h"

namespace samphire {

// Waits until the whole head of a request has arrived, without taking it:
// kOk, kMalformedRequest, kHeaderTooLarge, kRequestTooSlow, or kCallerGone for
// a connection that closed or stayed idle, or is idle while the port closes.
result_code AwaitHead(Poco::Net::StreamSocket& socket,
                      const front_control& control);

}  // namespace samphire

#endif  // FRONT_HEAD_WAIT_H_
