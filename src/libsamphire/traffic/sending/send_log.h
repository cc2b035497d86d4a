#ifndef TRAFFIC_SENDING_SEND_LOG_H_
#define TRAFFIC_SENDING_SEND_LOG_H_

#include "routing/live_target.h"
#include "traffic/sending/send_record.h"
#include "traffic/sending/target_exchange_end.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Writes a line about one send of a request, and counts it. `end` is how the
// send ended. May be called from any thread.
void LogSend(const traffic_context& context,
             const traffic_request& request,
             const live_target& target,
             const send_record& send,
             const target_exchange_end& end);

// Returns the number of bytes of a whole body for a log line; -1 if it is not
// known.
std::int64_t LoggedBodyBytes(const send_record& send);

}  // namespace samphire

#endif  // TRAFFIC_SENDING_SEND_LOG_H_
