#ifndef TRAFFIC_SENDING_TARGET_EXCHANGE_END_H_
#define TRAFFIC_SENDING_TARGET_EXCHANGE_END_H_

#include <Poco/Net/HTTPResponse.h>

#include <optional>

#include "base/result_code.h"
#include "gateway/buffered_response.h"
#include "routing/attempt_end.h"
#include "routing/sent_request.h"
#include "routing/target_path.h"
#include "traffic/sending/send_record.h"

namespace samphire {

// The outcome of one attempt to send a request to a target.
struct target_exchange_end {
  attempt_end attempt;
  // Why there is no response for the caller: it is incomplete, or the target
  // did not produce it by running the request. kOk if there is one.
  result_code reason = result_code::kOk;
  sent_request sent;
  // Whether the target closed the connection without any response.
  bool connection_lost = false;
  // Whether the response began to stream to the caller, so that no other
  // response may be sent.
  bool streamed = false;
  // HTTP status of the streamed response.
  int streamed_status = 0;
  // How the attempt reached the target, or tried to.
  target_path path = target_path::kDirect;
  // The last send of the attempt; nothing if there was none.
  std::optional<send_record> send;
  // The response's head, if the request came from a peer.
  std::optional<Poco::Net::HTTPResponse> head;
  // A complete response that has not been forwarded to the caller yet.
  std::optional<buffered_response> response;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_TARGET_EXCHANGE_END_H_
