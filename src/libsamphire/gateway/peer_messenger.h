#ifndef GATEWAY_PEER_MESSENGER_H_
#define GATEWAY_PEER_MESSENGER_H_

#include "decision/crash_notice.h"
#include "gateway/fleet_view.h"
#include "gateway/gate_set.h"
#include "gateway/guarded_quarantine.h"
#include "metrics/metrics.h"
#include "peer/peer_transport.h"

namespace samphire {

// Carries loan messages and crash notices between the entries of a region.
class peer_messenger {
 public:
  peer_messenger(peer_transport& transport,
                 fleet_view& fleet,
                 metrics& counters);

  // Before the transport starts.
  void Receive(gate_set& gates, guarded_quarantine& quarantine);

  // Afterwards nothing is delivered any more.
  void Stop();

  void Send(const loan_outbox& messages);
  void Tell(const crash_notice& notice);

 private:
  void OnLoan(gate_set& gates, const peer_message& message);

  peer_transport& transport_;
  fleet_view& fleet_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_MESSENGER_H_
