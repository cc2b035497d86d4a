#include "traffic/mirror_handler.h"

#include <algorithm>
#include <chrono>

#include "front/answer_writer.h"
#include "gateway/peer_read.h"
#include "traffic/mirror_messages.h"

namespace samphire {

namespace {

constexpr std::uint64_t kMaxAskBytes = 4096;
constexpr milliseconds kReadTime{1000};
// Longer than any peer of this version asks for.
constexpr std::uint32_t kMaxWaitMs = 5000;

}  // namespace

mirror_handler::mirror_handler(object_relay& relay,
                               peer_signer& signer,
                               const std::string& own_address,
                               samphire::metrics& counters)
    : relay_(relay),
      signer_(signer),
      own_address_(own_address),
      metrics_(counters) {}

void mirror_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                   Poco::Net::HTTPServerResponse& response) {
  const auto answer = Answer(static_cast<front_request&>(request));
  if (!answer) {
    metrics_.CountRefusal(answer.error().code);
    WriteRefusal(response, answer_note{.code = answer.error().code});
    return;
  }
  metrics_.Count("mirror_bytes_total", "",
                 static_cast<std::int64_t>(answer.value().size()));
  WriteBody(response, "application/octet-stream", answer.value());
}

result<std::string> mirror_handler::Answer(front_request& request) {
  BOOST_OUTCOME_TRY(body,
                    ReadPeerCall(request, signer_, own_address_, kMaxAskBytes,
                                 std::chrono::steady_clock::now() + kReadTime));
  const auto ask = DecodeBinary<mirror_ask>(body);
  if (!ask || request.getURI() != kMirrorPath)
    return MakeError(result_code::kPeerMalformed);
  if (ask->last_known) {
    BOOST_OUTCOME_TRY(known, relay_.LastKnown(ask->prefix));
    return EncodeBinary(known);
  }
  BOOST_OUTCOME_TRY(
      batch, relay_.Watch(ask->prefix, ask->cursor,
                          milliseconds(std::min(ask->wait_ms, kMaxWaitMs)),
                          ask->await_fresh));
  return EncodeBinary(batch);
}

}  // namespace samphire
