#ifndef PROXY_WHOLE_BODY_H_
#define PROXY_WHOLE_BODY_H_

#include <string>

#include "base/byte_budget.h"
#include "base/result.h"
#include "proxy/http_exchange.h"

namespace samphire {

// Reads the body of the response whose head `exchange` has read, within the
// time limits of body_time_limits.h. Fails like http_exchange::ReadBody(), and
// with kPeerMalformed if `budget` has fewer bytes left than the body needs;
// they are returned to it at the end.
result<std::string> ReadWholeBody(http_exchange& exchange, byte_budget& budget);

}  // namespace samphire

#endif  // PROXY_WHOLE_BODY_H_
