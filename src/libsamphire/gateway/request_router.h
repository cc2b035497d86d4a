#ifndef GATEWAY_REQUEST_ROUTER_H_
#define GATEWAY_REQUEST_ROUTER_H_

#include <string>

#include "base/clock_source.h"
#include "gateway/answer_sink.h"
#include "gateway/caller_request.h"
#include "gateway/peer_directory.h"
#include "gateway/region_server.h"
#include "metrics/metrics.h"
#include "proxy/caller_watch.h"

namespace samphire {

// Finds the region that serves a request, and gives its caller one final
// answer.
class request_router {
 public:
  request_router(std::string own_region,
                 region_server& local,
                 region_server& remote,
                 peer_directory& peers,
                 const clock_source& clock,
                 metrics& counters);

  void Route(const caller_request& request,
             const caller_watch& caller,
             answer_sink& sink);

 private:
  std::vector<std::string> RegionsFor(const caller_request& request);
  serve_end ServeIn(const std::string& region,
                    const caller_request& request,
                    const caller_watch& caller,
                    answer_sink& sink);

  const std::string own_region_;
  region_server& local_;
  region_server& remote_;
  peer_directory& peers_;
  const clock_source& clock_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_REQUEST_ROUTER_H_
