#ifndef TRAFFIC_SENDING_RESPONSE_CLASSIFICATION_H_
#define TRAFFIC_SENDING_RESPONSE_CLASSIFICATION_H_

#include <Poco/Net/HTTPResponse.h>

#include "traffic/sending/target_exchange_end.h"
#include "traffic/traffic_context.h"

namespace samphire {

// Derives from the head of a target's response whether the target has run the
// request, its load and what it asks for.
void ClassifyResponse(const traffic_context& context,
                      const Poco::Net::HTTPResponse& head,
                      target_exchange_end& end);

}  // namespace samphire

#endif  // TRAFFIC_SENDING_RESPONSE_CLASSIFICATION_H_
