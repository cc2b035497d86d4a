#ifndef TRAFFIC_FOLLOWING_MIRROR_HANDLER_H_
#define TRAFFIC_FOLLOWING_MIRROR_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "base/result.h"
#include "front/front_request.h"
#include "gateway/peer_signer.h"
#include "metrics/metrics.h"
#include "store/object_relay.h"

namespace samphire {

// Serves this entry's copy of the platform's objects to a peer that watches
// them through this entry. The server creates one handler for each request; a
// handler may block for as long as the peer requests to wait for a change, but
// at most 5 s. The constructor's arguments must outlive the handler.
class mirror_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  mirror_handler(object_relay& relay,
                 peer_signer& signer,
                 const std::string& own_address,
                 samphire::metrics& counters);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // Returns the encoded patched_batch if the peer accepts it, otherwise the
  // watch_batch. Fails with kPeerMalformed if the body or
  // the path is invalid, with the errors of ReadPeerCall if the request is
  // incomplete or not signed by a peer, and with kStoreUnreachable if this
  // entry has no copy that is fresh enough.
  result<std::string> Handle(front_request& request, bool accepts_patches);

  object_relay& relay_;
  peer_signer& signer_;
  const std::string& own_address_;
  samphire::metrics& metrics_;
};

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_MIRROR_HANDLER_H_
