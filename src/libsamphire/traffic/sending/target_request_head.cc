#include "traffic/sending/target_request_head.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "gateway/header_copy.h"

namespace samphire {

namespace {

// Removes the API key and any team header sent by the caller: targets trust the
// team header, and a target that received the key could impersonate the caller.
void SetTeamHeader(const traffic_context& context,
                   const traffic_request& request,
                   Poco::Net::HTTPRequest& head) {
  head.erase(context.headers.api_key);
  head.erase(context.headers.team);
  if (request.team != nullptr)
    head.set(context.headers.team, request.team->name);
}

void SetBodyFraming(const traffic_request& request,
                    Poco::Net::HTTPRequest& head) {
  const bool has_body =
      request.headers.has(Poco::Net::HTTPMessage::CONTENT_LENGTH) ||
      request.headers.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
  const bool is_long = request.body.state() != body_state::kBuffered;
  const auto length = request.body.length();
  if (length && (is_long || has_body))
    head.setContentLength64(static_cast<Poco::Int64>(*length));
  else if (is_long)
    head.setChunkedTransferEncoding(true);
}

}  // namespace

Poco::Net::HTTPRequest MakeTargetHead(const traffic_context& context,
                                      const traffic_request& request,
                                      const live_target& target) {
  Poco::Net::HTTPRequest head(request.method, request.path,
                              Poco::Net::HTTPMessage::HTTP_1_1);
  CopyEndToEndHeaders(request.headers, head);
  head.set("Host", request.headers.get("Host", target.address));
  const auto left =
      std::chrono::floor<milliseconds>(request.deadline - context.clock.now());
  SetOnly(head, context.headers.deadline,
          std::to_string(std::max<std::int64_t>(1, left.count())));
  SetOnly(head, context.headers.expected_target, target.id);
  if (!request.from_peer)
    SetTeamHeader(context, request, head);
  SetBodyFraming(request, head);
  head.setKeepAlive(true);
  return head;
}

}  // namespace samphire
