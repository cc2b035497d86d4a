#include "traffic/following/mirror_handler.h"

#include <algorithm>
#include <chrono>

#include "front/response_writer.h"
#include "gateway/peer_read.h"
#include "traffic/following/mirror_messages.h"

namespace samphire {

namespace {

// Upper bound on the body of a request: a key prefix and a few numbers.
constexpr std::uint64_t kMaxRequestBytes = 4096;
// Time within which the body of a request must arrive.
constexpr milliseconds kReadTimeout{1000};
// Upper bound on the time that a peer may let a watch wait for changes. Peers
// of this version ask for less.
constexpr std::uint32_t kMaxWaitMs = 5000;
// Media type of a watch_batch.
constexpr const char* kWatchBatchType = "application/octet-stream";

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
  const bool accepts_patches = request.get("Accept", "") == kPatchedBatchType;
  const auto encoded =
      Handle(static_cast<front_request&>(request), accepts_patches);
  if (!encoded) {
    metrics_.CountRefusal(encoded.error().code);
    WriteRefusal(response, response_status{.code = encoded.error().code});
    return;
  }
  metrics_.Count("mirror_bytes_total", "",
                 static_cast<std::int64_t>(encoded.value().size()));
  WriteBody(response, accepts_patches ? kPatchedBatchType : kWatchBatchType,
            encoded.value());
}

result<std::string> mirror_handler::Handle(front_request& request,
                                           bool accepts_patches) {
  BOOST_OUTCOME_TRY(
      body, ReadPeerCall(request, signer_, own_address_, kMaxRequestBytes,
                         std::chrono::steady_clock::now() + kReadTimeout));
  const auto query = DecodeBinary<mirror_request>(body);
  if (!query || request.getURI() != kMirrorPath)
    return MakeError(result_code::kPeerMalformed);
  if (query->last_known) {
    BOOST_OUTCOME_TRY(known, relay_.LastKnown(query->prefix));
    return accepts_patches ? EncodePatchedBatch(ToPatchedBatch(known))
                           : EncodeBinary(known);
  }
  const milliseconds wait(std::min(query->wait_ms, kMaxWaitMs));
  if (!accepts_patches) {
    BOOST_OUTCOME_TRY(batch, relay_.Watch(query->prefix, query->cursor, wait,
                                          query->await_fresh));
    return EncodeBinary(batch);
  }
  BOOST_OUTCOME_TRY(batch, relay_.WatchPatched(query->prefix, query->cursor,
                                               wait, query->await_fresh));
  return EncodePatchedBatch(batch);
}

}  // namespace samphire
