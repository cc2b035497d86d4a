#ifndef GATEWAY_REQUEST_ROUTER_H_
#define GATEWAY_REQUEST_ROUTER_H_

#include <string>

#include "base/clock_source.h"
#include "gateway/caller_request.h"
#include "gateway/peer_directory.h"
#include "gateway/region_server.h"
#include "gateway/response_sink.h"
#include "metrics/metrics.h"
#include "proxy/caller_watch.h"

namespace samphire {

// Chooses the regions for a request, tries them in turn, and sends its caller
// exactly one final response. Thread-safe; Route is called by the thread of
// each request.
class request_router {
 public:
  // `local` serves requests in the own region, `remote` in all others.
  request_router(std::string own_region,
                 region_server& local,
                 region_server& remote,
                 peer_directory& peers,
                 const clock_source& clock,
                 metrics& counters);

  // Blocks until the response or refusal was sent to `sink`.
  void Route(const caller_request& request,
             const caller_watch& caller,
             response_sink& sink);

 private:
  // Returns the regions to try, in order.
  std::vector<std::string> RegionsFor(const caller_request& request);
  serve_result ServeIn(const std::string& region,
                       const caller_request& request,
                       const caller_watch& caller,
                       response_sink& sink);

  const std::string own_region_;
  region_server& local_;
  region_server& remote_;
  peer_directory& peers_;
  const clock_source& clock_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_REQUEST_ROUTER_H_
