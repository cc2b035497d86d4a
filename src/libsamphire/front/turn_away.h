#ifndef FRONT_TURN_AWAY_H_
#define FRONT_TURN_AWAY_H_

#include <Poco/Net/StreamSocket.h>

#include "base/clock_source.h"
#include "base/result_code.h"

namespace samphire {

// Answers a connection, of which nothing was read, with a refusal, and ends it
// so that the refusal arrives.
void TurnAway(Poco::Net::StreamSocket& caller,
              result_code reason,
              milliseconds retry_after);

// Reads and drops some of what a refused caller still sends.
void DrainAndShutDown(Poco::Net::StreamSocket& caller);

}  // namespace samphire

#endif  // FRONT_TURN_AWAY_H_
