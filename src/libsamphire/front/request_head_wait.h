#ifndef FRONT_REQUEST_HEAD_WAIT_H_
#define FRONT_REQUEST_HEAD_WAIT_H_

#include <Poco/Net/StreamSocket.h>

#include "base/result_code.h"
#include "front/front_shared_state.h"

namespace samphire {

// Blocks until the complete head of a request (request line and headers) has
// arrived, and leaves it in the socket for the parser. Called by the thread of
// the connection. Returns
// - kOk when the head is complete and has a request line;
// - kMalformedRequest when it has none;
// - kHeaderTooLarge or kRequestTooSlow when a limit of `shared_state` is
//   exceeded before the head is complete;
// - kEntryLeaving when the port refuses requests and no complete head has
//   arrived;
// - kCallerGone when the connection was closed or exceeded the idle timeout.
result_code AwaitRequestHead(Poco::Net::StreamSocket& socket,
                             const front_shared_state& shared_state);

}  // namespace samphire

#endif  // FRONT_REQUEST_HEAD_WAIT_H_
