#ifndef LEDGER_OPERATION_FORWARDER_H_
#define LEDGER_OPERATION_FORWARDER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock_source.h"
#include "ledger/ledger_operation.h"

namespace samphire {

// Asks the leader of a shard to commit an operation along with its own.
class operation_forwarder {
 public:
  virtual ~operation_forwarder() = default;

  // Blocks for the leader's outcome. Without one, nothing is known: the
  // operation may be committed now, later or never.
  virtual std::optional<operation_outcome> Forward(
      const std::string& leader,
      const ledger_operation& operation,
      time_point deadline) = 0;
};

}  // namespace samphire

#endif  // LEDGER_OPERATION_FORWARDER_H_
