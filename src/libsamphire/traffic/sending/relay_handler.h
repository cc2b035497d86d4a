#ifndef TRAFFIC_SENDING_RELAY_HANDLER_H_
#define TRAFFIC_SENDING_RELAY_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "base/result.h"
#include "front/front_request.h"
#include "gateway/response_sink.h"
#include "proxy/caller_watch.h"
#include "traffic/sending/target_exchange_end.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Makes an attempt at a target for a peer that has no connection to it. The
// peer has decided everything about the request and counts the attempt; this
// entry only connects, and never passes the request on. Created for each
// request.
class relay_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit relay_handler(traffic_context& context) : context_(context) {}

  // Whether the request is for this handler.
  static bool Accepts(const Poco::Net::HTTPServerRequest& request);

  // Blocks until the response was sent or the peer closed the connection.
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // Fails with the error of the read, or kPeerMalformed and others of
  // peer_signer::Verify().
  result<traffic_request> Read(front_request& request) const;
  // Returns the target if this entry may send requests there and has nothing
  // against its own link; else why it does not.
  result<live_target> FindTarget(
      const Poco::Net::HTTPServerRequest& request) const;
  void Respond(const target_exchange_end& end,
               const live_target& target,
               response_sink& sink) const;

  traffic_context& context_;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_RELAY_HANDLER_H_
