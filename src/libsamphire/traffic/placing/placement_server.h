#ifndef TRAFFIC_PLACING_PLACEMENT_SERVER_H_
#define TRAFFIC_PLACING_PLACEMENT_SERVER_H_

#include "peer/peer_transport.h"
#include "traffic/placing/placement_messages.h"
#include "traffic/traffic_context.h"

namespace samphire {

// Places attempts for other entries of the region if this entry owns the key,
// and counts each attempt as load at its target until its end is reported or
// its lease expires. Messages are handled on the transport's receiving thread.
// The destructor unregisters the handlers and waits for one that is running.
class placement_server {
 public:
  placement_server(peer_transport& transport, traffic_context& context);
  ~placement_server();
  placement_server(const placement_server&) = delete;
  placement_server& operator=(const placement_server&) = delete;

 private:
  void OnRequest(const peer_message& message);
  void OnEnd(const peer_message& message);
  remote_placement_response MakeResponse(const remote_placement_request& query,
                                         const lease_holder& holder);

  peer_transport& transport_;
  traffic_context& context_;
};

}  // namespace samphire

#endif  // TRAFFIC_PLACING_PLACEMENT_SERVER_H_
