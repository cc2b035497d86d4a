#ifndef TRAFFIC_MIRROR_HANDLER_H_
#define TRAFFIC_MIRROR_HANDLER_H_

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

// Answers a peer that follows the platform's objects through this entry.
class mirror_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  mirror_handler(object_relay& relay,
                 peer_signer& signer,
                 const std::string& own_address,
                 samphire::metrics& counters);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  result<std::string> Answer(front_request& request);

  object_relay& relay_;
  peer_signer& signer_;
  const std::string& own_address_;
  samphire::metrics& metrics_;
};

}  // namespace samphire

#endif  // TRAFFIC_MIRROR_HANDLER_H_
