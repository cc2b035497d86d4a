#ifndef FRONT_REFUSE_CONNECTION_H_
#define FRONT_REFUSE_CONNECTION_H_

#include <Poco/Net/StreamSocket.h>

#include "base/clock_source.h"
#include "base/error.h"
#include "front/lingering_closer.h"

namespace samphire {

// Refuses the next request of a connection, whether or not it has arrived:
// sends `reason` and its detail with the retry time, and leaves the connection
// to `closer`. Blocks for 100 ms at most, and only while the caller doesn't
// read; errors of the connection are ignored.
void RefuseConnection(Poco::Net::StreamSocket caller,
                      const error& reason,
                      milliseconds retry_after,
                      lingering_closer& closer);

}  // namespace samphire

#endif  // FRONT_REFUSE_CONNECTION_H_
