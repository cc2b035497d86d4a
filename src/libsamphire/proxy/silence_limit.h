#ifndef PROXY_SILENCE_LIMIT_H_
#define PROXY_SILENCE_LIMIT_H_

#include <Poco/Net/StreamSocket.h>

#include "base/clock_source.h"

namespace samphire {

// Lets a connection fail when the other side has confirmed nothing for so
// long, be it bytes in flight or, on a quiet connection, probes.
void SetSilenceLimit(Poco::Net::StreamSocket& socket, milliseconds limit);

}  // namespace samphire

#endif  // PROXY_SILENCE_LIMIT_H_
