#ifndef FRONT_REQUEST_HEAD_RECEIVER_H_
#define FRONT_REQUEST_HEAD_RECEIVER_H_

#include "base/result.h"
#include "front/front_session.h"
#include "front/front_shared_state.h"
#include "proxy/head_text.h"

namespace samphire {

// Blocks until the complete head of the next request has arrived, and returns
// it. The same bounds hold for the first request of a connection and for those
// behind it, whether or not parts of them have arrived before. Called by the
// thread of the connection. Fails with
// - kMalformedRequest as soon as a line is no line of a head;
// - kHeaderTooLarge or kRequestTooSlow when a limit of `shared_state` is
//   exceeded before the head is complete;
// - kEntryLeaving when the port refuses requests and no complete head has
//   arrived;
// - kCallerGone when the connection was closed or exceeded the idle timeout.
result<head_text> ReceiveRequestHead(front_session& session,
                                     const front_shared_state& shared_state);

}  // namespace samphire

#endif  // FRONT_REQUEST_HEAD_RECEIVER_H_
