#ifndef GATEWAY_REGION_SERVER_H_
#define GATEWAY_REGION_SERVER_H_

#include "gateway/caller_request.h"
#include "gateway/response_sink.h"
#include "gateway/serve_result.h"
#include "proxy/caller_watch.h"

namespace samphire {

// Serves requests in a region. Called by several threads at once.
class region_server {
 public:
  virtual ~region_server() = default;
  // Serves one request in `region`; blocks until its response was sent to
  // `sink` or the attempt in this region has failed. A `caller` that
  // disconnects may cancel the request.
  virtual serve_result Serve(const caller_request& request,
                             const std::string& region,
                             const caller_watch& caller,
                             response_sink& sink) = 0;
};

}  // namespace samphire

#endif  // GATEWAY_REGION_SERVER_H_
