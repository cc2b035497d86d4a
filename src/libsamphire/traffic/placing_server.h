#ifndef TRAFFIC_PLACING_SERVER_H_
#define TRAFFIC_PLACING_SERVER_H_

#include "peer/peer_transport.h"
#include "traffic/placing_messages.h"
#include "traffic/traffic_context.h"

namespace samphire {

// Places attempts of other entries of the region for the keys that this entry
// owns.
class placing_server {
 public:
  placing_server(peer_transport& transport, traffic_context& context);
  ~placing_server();
  placing_server(const placing_server&) = delete;
  placing_server& operator=(const placing_server&) = delete;

 private:
  void OnAsk(const peer_message& message);
  void OnEnd(const peer_message& message);
  placing_answer Answer(const placing_ask& ask, const lease_holder& holder);

  peer_transport& transport_;
  traffic_context& context_;
};

}  // namespace samphire

#endif  // TRAFFIC_PLACING_SERVER_H_
