#include "traffic/traffic_handler.h"

#include <cstdint>

#include "base/log.h"
#include "front/front_request.h"
#include "gateway/caller_answer.h"
#include "traffic/traffic_dispatcher.h"
#include "traffic/traffic_request_reader.h"

namespace samphire {

namespace {

// An entry without a configuration has asked for it; it comes soon or another
// entry is the better choice.
constexpr milliseconds kRetryAfter{300};

}  // namespace

void traffic_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                    Poco::Net::HTTPServerResponse& response) {
  auto& whole = static_cast<front_request&>(request);
  caller_answer sink(request, response, note_headers::kOnRefusals);
  const auto read = ReadTrafficRequest(whole, context_);
  if (!read) {
    if (!whole.IsConsumed())
      response.setKeepAlive(false);
    Refuse(sink, whole.get(context_.headers.request_id, ""), read.error());
    return;
  }
  // If it is refused, the rest of its body stays unread on the connection.
  if (read.value().body_rest != nullptr)
    response.setKeepAlive(false);
  const caller_watch caller(sink.socket());
  traffic_dispatcher(context_, read.value(), caller, sink).Run();
}

void traffic_handler::Refuse(answer_sink& sink,
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
               .fine_retry_after = true});
}

}  // namespace samphire
