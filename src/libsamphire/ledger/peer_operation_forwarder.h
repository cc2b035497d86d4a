#ifndef LEDGER_PEER_OPERATION_FORWARDER_H_
#define LEDGER_PEER_OPERATION_FORWARDER_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "base/clock_source.h"
#include "ledger/forward_message.h"
#include "ledger/operation_forwarder.h"
#include "metrics/metrics.h"
#include "peer/peer_transport.h"

namespace samphire {

// Forwards operations as peer messages (datagrams) and matches the responses by
// id. Safe to use from several threads.
class peer_operation_forwarder final : public operation_forwarder {
 public:
  peer_operation_forwarder(peer_transport& transport,
                           const clock_source& clock,
                           metrics& registry);
  ~peer_operation_forwarder() override;

  std::optional<operation_outcome> Forward(const std::string& leader,
                                           const ledger_operation& operation,
                                           time_point deadline) override;

 private:
  // Sends a request, and sends it again at intervals, until a response arrives
  // or `deadline` passes.
  std::optional<forward_response> Exchange(const std::string& leader,
                                           std::uint64_t id,
                                           const std::string& payload,
                                           time_point deadline);
  // Hands a response to the thread that waits for it. Runs on the transport's
  // receiving thread; responses with an unknown id are ignored.
  void Receive(const peer_message& message);

  peer_transport& transport_;
  const clock_source& clock_;
  metrics& metrics_;
  // Guards last_id_ and outstanding_.
  std::mutex lock_;
  std::condition_variable response_arrived_;
  std::uint64_t last_id_ = 0;
  // The outstanding requests by id, with the response once it arrives.
  std::map<std::uint64_t, std::optional<forward_response>> outstanding_;
};

}  // namespace samphire

#endif  // LEDGER_PEER_OPERATION_FORWARDER_H_
