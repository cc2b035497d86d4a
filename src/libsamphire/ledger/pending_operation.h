#ifndef LEDGER_PENDING_OPERATION_H_
#define LEDGER_PENDING_OPERATION_H_

#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <optional>
#include <utility>

#include "base/clock_source.h"
#include "ledger/ledger_operation.h"

namespace samphire {

// An operation that waits for its shard's next batch. Owned by the thread
// that asked and by the batch, since either may leave first.
struct pending_operation
    : boost::intrusive_ref_counter<pending_operation>,
      boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  pending_operation(ledger_operation o, time_point d)
      : operation(std::move(o)), deadline(d) {}

  ledger_operation operation;
  time_point deadline;
  std::optional<operation_outcome> outcome;
  // The asking thread has gone with the answer "not run".
  bool abandoned = false;
};

using pending_operation_ptr = boost::intrusive_ptr<pending_operation>;

}  // namespace samphire

#endif  // LEDGER_PENDING_OPERATION_H_
