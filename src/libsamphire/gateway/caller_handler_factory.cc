#include "gateway/caller_handler_factory.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <utility>

#include "gateway/lookup_handler.h"
#include "gateway/refusal_handler.h"
#include "gateway/text_handler.h"

namespace samphire {

namespace {

// HTTP status of a readiness check that fails.
constexpr int kNotReady = 503;

}  // namespace

caller_handler_factory::caller_handler_factory(service_context& context,
                                               text_source status,
                                               text_source counters)
    : context_(context),
      status_(std::move(status)),
      counters_(std::move(counters)) {}

Poco::Net::HTTPRequestHandler* caller_handler_factory::createRequestHandler(
    const Poco::Net::HTTPServerRequest& request) {
  const auto& uri = request.getURI();
  const auto path = uri.substr(0, uri.find('?'));
  if (path.starts_with("/v1/services/"))
    return new service_handler(context_, false);
  if (path == "/v1/lookup")
    return new lookup_handler(context_.state, context_.counters);
  if (path == "/v1/status")
    return new text_handler("application/json", status_);
  if (path == "/metrics")
    return new text_handler("text/plain; version=0.0.4", counters_);
  if (path == "/healthz")
    return new text_handler("text/plain", [] { return "alive\n"; });
  if (path == "/readyz")
    return MakeReadiness();
  return new refusal_handler(result_code::kUnknownPath, context_.counters);
}

Poco::Net::HTTPRequestHandler* caller_handler_factory::MakeReadiness() {
  if (context_.state.leaving)
    return new text_handler(
        "text/plain", [] { return "leaving\n"; }, kNotReady);
  if (!context_.state.deployments.Get())
    return new text_handler(
        "text/plain", [] { return "no configuration\n"; }, kNotReady);
  return new text_handler("text/plain", [] { return "ready\n"; });
}

}  // namespace samphire
