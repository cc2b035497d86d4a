#include "gateway/service_handler.h"

#include <utility>

#include "base/log.h"
#include "front/header_names.h"
#include "gateway/caller_response.h"
#include "gateway/request_reader.h"

namespace samphire {

namespace {

// Retry time that is sent to the caller with a refusal.
constexpr milliseconds kRetryAfter{1000};

}  // namespace

service_handler::service_handler(service_context& context, bool from_peer)
    : context_(context), from_peer_(from_peer) {}

void service_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                    Poco::Net::HTTPServerResponse& response) {
  auto& whole = static_cast<front_request&>(request);
  caller_response sink(request, response);
  auto read = Read(whole);
  if (!read) {
    // What follows a malformed request may be a part of it.
    if (!whole.IsFullyRead() ||
        read.error().code == result_code::kMalformedRequest)
      response.setKeepAlive(false);
    Refuse(sink, read.error());
    return;
  }
  const caller_watch caller(sink.socket());
  context_.router.Route(read.value(), caller, sink);
}

result<caller_request> service_handler::Read(front_request& request) {
  auto present = context_.state.deployments.Get();
  if (!present)
    return MakeError(result_code::kNoConfiguration);
  const auto now = context_.clock.now();
  const auto home =
      from_peer_ ? request.get(kHeaderHomeRegion, "") : std::string();
  if (from_peer_ && home.empty())
    return MakeError(result_code::kMalformedRequest,
                     "forwarded request has no home region header");
  const auto body_limit = present->declared().limits.max_body_bytes;
  BOOST_OUTCOME_TRY(read,
                    ReadRequestHead(request, std::move(present), home, now));
  // An entry that has been cut off can't know whether a class or a drain has
  // changed meanwhile. Requests that may be repeated, such as readings, are
  // still served, since readings carry their own age; others are refused and
  // must wait or go to another entry.
  if (!read.request_class->repeatable && !context_.state.fresh)
    return MakeError(result_code::kConfigurationTooOld);
  BOOST_OUTCOME_TRY(
      body, request.ReadBody(body_limit, now + context_.limits.header_timeout));
  SetBody(read, std::move(body));
  if (from_peer_) {
    BOOST_OUTCOME_TRYV(VerifyPeer(read, request));
  }
  return std::move(read);
}

result<void> service_handler::VerifyPeer(const caller_request& read,
                                         const front_request& request) {
  const peer_request signed_part{
      .method = request.getMethod(),
      .request_target = request.getURI(),
      .receiver_address = context_.peer_address,
      .signed_content =
          ForwardedContent(read.home_region, read.idempotency_key, read.body)};
  auto sender =
      context_.signer.Verify(signed_part, request.get(kPeerTokenHeader, ""));
  if (!sender)
    return sender.error();
  return Success();
}

void service_handler::Refuse(response_sink& sink, const error& why) {
  context_.counters.CountRefusal(why.code);
  Log(log_level::kDebug, "refused-unread",
      {{"code", static_cast<int>(why.code)},
       {"name", NameOf(why.code)},
       {"detail", why.detail}});
  const auto present = context_.state.deployments.Get();
  sink.Refuse(
      response_status{.code = why.code,
                      .config_version = present ? present->version() : 0,
                      .retry_after = kRetryAfter,
                      .detail = why.detail});
}

}  // namespace samphire
