#ifndef LEDGER_OPERATION_FORWARDER_H_
#define LEDGER_OPERATION_FORWARDER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock_source.h"
#include "ledger/ledger_operation.h"

namespace samphire {

// Forwards operations to the leader of their shard, which commits them together
// with its own. Implementations are called from several threads.
class operation_forwarder {
 public:
  virtual ~operation_forwarder() = default;

  // Blocks until the leader's outcome arrives, or `deadline` at the latest. If
  // nullopt is returned, the outcome is unknown: the leader may have committed
  // the operation, may commit it later, or never. `leader` is a peer address.
  virtual std::optional<operation_outcome> Forward(
      const std::string& leader,
      const ledger_operation& operation,
      time_point deadline) = 0;
};

}  // namespace samphire

#endif  // LEDGER_OPERATION_FORWARDER_H_
