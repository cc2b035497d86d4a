#ifndef GATEWAY_RESPONSE_STREAM_H_
#define GATEWAY_RESPONSE_STREAM_H_

#include <Poco/Net/HTTPResponse.h>

#include <string_view>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "front/response_status.h"
#include "gateway/response_sink.h"
#include "proxy/http_exchange.h"

namespace samphire {

// How the streaming of a response ended.
struct response_stream_result {
  // kOk: the response is complete. kCallerGone: its caller disconnected. Any
  // other code: why the response ended early.
  result_code code = result_code::kOk;
  // Time spent waiting for the target, without the time that the caller took to
  // read.
  duration target_time{0};
};

// Streams a response to the sink as it arrives and blocks until it has ended;
// `first` is the part of its body that has been read already. Ends or aborts
// the sink.
response_stream_result StreamResponse(http_exchange& exchange,
                                      const Poco::Net::HTTPResponse& head,
                                      std::string_view first,
                                      const response_status& status,
                                      response_sink& sink);

}  // namespace samphire

#endif  // GATEWAY_RESPONSE_STREAM_H_
