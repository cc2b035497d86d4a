#include "traffic/traffic_handler.h"

#include <cstdint>

#include "base/log.h"
#include "front/front_request.h"
#include "gateway/caller_response.h"
#include "traffic/sending/traffic_dispatcher.h"
#include "traffic/traffic_request_reader.h"

namespace samphire {

namespace {

// Retry time given to callers whose request is refused before any attempt. An
// entry without a configuration has already requested one: either it arrives
// within this time, or callers should use another entry.
constexpr milliseconds kRetryAfter{300};

}  // namespace

void traffic_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                    Poco::Net::HTTPServerResponse& response) {
  auto& incoming = static_cast<front_request&>(request);
  caller_response sink(request, response, status_headers::kOnRefusals);
  auto read = ReadTrafficRequest(incoming, context_);
  if (!read) {
    // What follows a malformed request may be a part of it.
    if (!incoming.IsFullyRead() ||
        read.error().code == result_code::kMalformedRequest)
      response.setKeepAlive(false);
    Refuse(sink, incoming.get(context_.headers.request_id, ""), read.error());
    return;
  }
  // If the request is refused, the rest of its body remains unread, and the
  // connection can't be reused.
  if (read.value().body.state() != body_state::kBuffered)
    response.setKeepAlive(false);
  const caller_watch caller(sink.socket(), context_.state.stop.cut());
  traffic_dispatcher(context_, read.value(), caller, sink).Run();
}

void traffic_handler::Refuse(response_sink& sink,
                             const std::string& id,
                             const error& why) const {
  context_.counters.CountRefusal(why.code);
  const auto manifest = context_.state.manifest();
  const std::uint64_t version = manifest ? manifest->version() : 0;
  Log(log_level::kInfo, "request-refused-unread",
      {{"request", id},
       {"config_version", version},
       {"code", static_cast<int>(why.code)},
       {"result", NameOf(why.code)},
       {"detail", why.detail}});
  sink.Refuse({.code = why.code,
               .config_version = version,
               .retry_after = kRetryAfter,
               .fractional_retry_after = true});
}

}  // namespace samphire
