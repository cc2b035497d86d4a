#ifndef GATEWAY_REMOTE_SERVER_H_
#define GATEWAY_REMOTE_SERVER_H_

#include <string>

#include "base/clock_source.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_signer.h"
#include "gateway/region_server.h"
#include "gateway/response_relay.h"
#include "gateway/retry_budgets.h"
#include "metrics/metrics.h"

namespace samphire {

// Serves requests in other regions by forwarding them to an entry there,
// because only the entries of a region admit work to its targets. Serve may be
// called by several threads at once; it blocks until the request has ended.
class remote_server final : public region_server {
 public:
  remote_server(peer_directory& peers,
                peer_signer& signer,
                retry_budgets& budgets,
                connection_pool& pool,
                const clock_source& clock,
                metrics& counters);

  serve_result Serve(const caller_request& request,
                     const std::string& region,
                     const caller_watch& caller,
                     response_sink& sink) override;

 private:
  // Forwards the request to one entry and relays the response.
  serve_result ForwardTo(const caller_request& request,
                         const peer_entry& peer,
                         connection_use connection,
                         const caller_watch& caller,
                         response_sink& sink);
  // Returns the request as it is sent to the peer, signed, with the caller's
  // home region.
  outgoing_request MakeForwardedRequest(const caller_request& request,
                                        const peer_entry& peer,
                                        connection_use connection);
  // Whether another entry may be tried after one ended with `status`. If so,
  // counts the retry against the retry budget of the service.
  bool MayTryNext(const caller_request& request, const response_status& status);

  peer_directory& peers_;
  peer_signer& signer_;
  retry_budgets& budgets_;
  connection_pool& pool_;
  const clock_source& clock_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_REMOTE_SERVER_H_
