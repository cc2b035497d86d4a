#ifndef GATEWAY_PEER_SERVER_H_
#define GATEWAY_PEER_SERVER_H_

#include <string>

#include "base/clock_source.h"
#include "gateway/answer_relay.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_signer.h"
#include "gateway/region_server.h"
#include "gateway/retry_budgets.h"
#include "metrics/metrics.h"

namespace samphire {

// Serves requests of other regions by passing them to an entry there, since
// only entries of a region admit work to its targets.
class peer_server final : public region_server {
 public:
  peer_server(peer_directory& peers,
              peer_signer& signer,
              retry_budgets& budgets,
              connection_pool& pool,
              const clock_source& clock,
              metrics& counters);

  serve_end Serve(const caller_request& request,
                  const std::string& region,
                  const caller_watch& caller,
                  answer_sink& sink) override;

 private:
  serve_end PassTo(const caller_request& request,
                   const peer_entry& peer,
                   const caller_watch& caller,
                   answer_sink& sink);
  outgoing_request MakePassed(const caller_request& request,
                              const peer_entry& peer);
  bool MayTryNext(const caller_request& request, const response_status& note);

  peer_directory& peers_;
  peer_signer& signer_;
  retry_budgets& budgets_;
  connection_pool& pool_;
  const clock_source& clock_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_SERVER_H_
