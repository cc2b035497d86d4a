#ifndef PROXY_WHOLE_BODY_H_
#define PROXY_WHOLE_BODY_H_

#include <cstddef>
#include <string>

#include "base/result.h"
#include "proxy/http_exchange.h"

namespace samphire {

// Reads the body of the response whose head `exchange` has read, within the
// time limits of body_time_limits.h. Fails like http_exchange::ReadBody(), and
// with kPeerMalformed over `max_bytes`.
result<std::string> ReadWholeBody(http_exchange& exchange,
                                  std::size_t max_bytes);

}  // namespace samphire

#endif  // PROXY_WHOLE_BODY_H_
