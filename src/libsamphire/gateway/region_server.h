#ifndef GATEWAY_REGION_SERVER_H_
#define GATEWAY_REGION_SERVER_H_

#include "gateway/answer_sink.h"
#include "gateway/caller_request.h"
#include "gateway/serve_end.h"
#include "proxy/caller_watch.h"

namespace samphire {

// One way to have a request served in one region.
class region_server {
 public:
  virtual ~region_server() = default;
  virtual serve_end Serve(const caller_request& request,
                          const std::string& region,
                          const caller_watch& caller,
                          answer_sink& sink) = 0;
};

}  // namespace samphire

#endif  // GATEWAY_REGION_SERVER_H_
