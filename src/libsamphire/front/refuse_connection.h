#ifndef FRONT_REFUSE_CONNECTION_H_
#define FRONT_REFUSE_CONNECTION_H_

#include <Poco/Net/StreamSocket.h>

#include "base/clock_source.h"
#include "base/result_code.h"

namespace samphire {

// Refuses a connection from which nothing was read: sends `reason` with the
// retry time, then drains and shuts down the connection so that the refusal
// arrives. Blocks for a bounded time; errors of the connection are ignored.
void RefuseConnection(Poco::Net::StreamSocket& caller,
                      result_code reason,
                      milliseconds retry_after);

// Shuts down the sending side, then reads and discards input for a bounded time
// so that the caller receives the response sent before. Ignores errors of the
// connection.
void DrainAndShutDown(Poco::Net::StreamSocket& caller);

}  // namespace samphire

#endif  // FRONT_REFUSE_CONNECTION_H_
