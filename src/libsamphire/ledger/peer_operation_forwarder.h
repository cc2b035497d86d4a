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

// Forwards operations as peer messages. Safe to use from several threads.
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
  std::optional<forward_answer> Exchange(const std::string& leader,
                                         std::uint64_t id,
                                         const std::string& payload,
                                         time_point deadline);
  void Receive(const peer_message& message);

  peer_transport& transport_;
  const clock_source& clock_;
  metrics& metrics_;
  std::mutex lock_;
  std::condition_variable answered_;
  std::uint64_t last_id_ = 0;
  // Asks that wait for their answer.
  std::map<std::uint64_t, std::optional<forward_answer>> waiting_;
};

}  // namespace samphire

#endif  // LEDGER_PEER_OPERATION_FORWARDER_H_
