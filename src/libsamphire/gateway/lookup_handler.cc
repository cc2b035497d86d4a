#include "gateway/lookup_handler.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include "front/response_writer.h"
#include "steering/lookup_composer.h"

namespace samphire {

namespace {

// Retry time that is sent to the caller with a refusal.
constexpr milliseconds kRetryAfter{500};

struct lookup_query {
  std::string service;
  std::string client;
};

result<lookup_query> ReadQuery(const std::string& uri) {
  lookup_query query;
  try {
    for (const auto& [name, value] : Poco::URI(uri).getQueryParameters()) {
      if (name == "service")
        query.service = value;
      if (name == "client")
        query.client = value;
    }
  } catch (const Poco::Exception&) {
    return MakeError(result_code::kMalformedRequest, "malformed query string");
  }
  return query;
}

}  // namespace

lookup_handler::lookup_handler(node_state& state, metrics& counters)
    : state_(state), metrics_(counters) {}

void lookup_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                   Poco::Net::HTTPServerResponse& response) {
  const auto body = Respond(request);
  if (!body) {
    metrics_.CountRefusal(body.error().code);
    WriteRefusal(response, response_status{.code = body.error().code,
                                           .retry_after = kRetryAfter,
                                           .detail = body.error().detail});
    return;
  }
  metrics_.Count("lookups_total");
  const auto present = state_.deployments.Get();
  SetStatusHeaders(response,
                   response_status{.config_version = present->version()});
  response.set("Cache-Control", "no-store");
  WriteBody(response, "application/json", body.value());
}

result<std::string> lookup_handler::Respond(
    const Poco::Net::HTTPServerRequest& request) {
  const auto present = state_.deployments.Get();
  const auto entries = state_.entries.Get();
  if (!present || !entries)
    return MakeError(result_code::kNoConfiguration);
  BOOST_OUTCOME_TRY(query, ReadQuery(request.getURI()));
  if (present->FindService(query.service) == nullptr)
    return MakeError(result_code::kUnknownService, query.service);
  const auto address = ParseIpAddress(
      query.client.empty() ? request.clientAddress().host().toString()
                           : query.client);
  if (!address)
    return MakeError(result_code::kBadClientAddress, query.client);
  return WriteLookupResponse(
      ComposeLookupResponse(present->lookups(), *entries, *address));
}

}  // namespace samphire
