#include "gateway/peer_call_handler.h"

#include <chrono>

#include "front/response_writer.h"
#include "gateway/peer_read.h"

namespace samphire {

namespace {

// Bounds the body of a call.
constexpr std::uint64_t kMaxCallBytes = 1 << 20;

// Returns the encoded response to each kind of call.
struct call_visitor {
  peer_call_context& context;

  result<std::string> operator()(const config_status_request& /*call*/) const {
    return EncodeBinary(context.configuration.AdvertisedConfig());
  }
  result<std::string> operator()(const config_update_request& call) const {
    BOOST_OUTCOME_TRY(
        update, context.configuration.cached_images().Pull(call.have_version));
    return EncodeBinary(update);
  }
  result<std::string> operator()(const chunk_request& call) const {
    BOOST_OUTCOME_TRY(texts,
                      context.configuration.cached_images().Chunks(call.refs));
    return EncodeBinary(texts);
  }
  result<std::string> operator()(const instance_list_request& call) const {
    return EncodeBinary(context.instances.ListIfChanged(call.known));
  }
};

}  // namespace

peer_call_handler::peer_call_handler(peer_call_context& context)
    : context_(context) {}

void peer_call_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                      Poco::Net::HTTPServerResponse& response) {
  const auto encoded = Respond(static_cast<front_request&>(request));
  if (!encoded) {
    context_.counters.CountRefusal(encoded.error().code);
    WriteRefusal(response, response_status{.code = encoded.error().code});
    return;
  }
  context_.counters.Count("peer_call_bytes_total", "",
                          static_cast<std::int64_t>(encoded.value().size()));
  WriteBody(response, "application/octet-stream", encoded.value());
}

result<std::string> peer_call_handler::Respond(front_request& request) {
  const auto deadline =
      std::chrono::steady_clock::now() + context_.limits.header_timeout;
  BOOST_OUTCOME_TRY(
      body, ReadPeerCall(request, context_.signer, context_.peer_address,
                         kMaxCallBytes, deadline));
  const auto call = DecodeBinary<peer_call>(body);
  if (!call)
    return MakeError(result_code::kPeerMalformed);
  return std::visit(call_visitor{context_}, *call);
}

}  // namespace samphire
