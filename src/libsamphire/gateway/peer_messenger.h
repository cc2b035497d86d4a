#ifndef GATEWAY_PEER_MESSENGER_H_
#define GATEWAY_PEER_MESSENGER_H_

#include "gateway/fleet_view.h"
#include "gateway/gate_set.h"
#include "metrics/metrics.h"
#include "peer/peer_transport.h"

namespace samphire {

// Carries loan messages between the entries of a region, in datagrams that may
// get lost. Send is thread-safe and doesn't wait for delivery.
class peer_messenger {
 public:
  peer_messenger(peer_transport& transport,
                 fleet_view& fleet,
                 metrics& counters);

  // Delivers received messages to `gates`, on the thread of the transport. To
  // be called before the transport starts.
  void RegisterHandlers(gate_set& gates);

  // Ends delivery; on return no handler is running.
  void Stop();

  // Sends each loan message to the member that it names.
  void Send(const loan_outbox& messages);

 private:
  // Decodes a loan message and passes it to the gate of its service.
  void OnLoan(gate_set& gates, const peer_message& message);

  peer_transport& transport_;
  fleet_view& fleet_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_MESSENGER_H_
