#ifndef GATEWAY_ANSWER_STREAM_H_
#define GATEWAY_ANSWER_STREAM_H_

#include <Poco/Net/HTTPResponse.h>

#include <string_view>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "front/response_status.h"
#include "gateway/answer_sink.h"
#include "proxy/http_exchange.h"

namespace samphire {

// How passing an answer on ended.
struct answer_stream_end {
  // kOk: whole. kCallerGone: its caller left. Else why the answer broke off.
  result_code code = result_code::kOk;
  // Spent waiting for the target, not for the caller.
  duration target_time{0};
};

// Passes an answer on to its caller as it comes; `first` is what was read of
// its body before.
answer_stream_end StreamAnswer(http_exchange& exchange,
                               const Poco::Net::HTTPResponse& head,
                               std::string_view first,
                               const response_status& note,
                               answer_sink& sink);

}  // namespace samphire

#endif  // GATEWAY_ANSWER_STREAM_H_
