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

// An operation that waits for its shard's next batch. Ownership is shared by
// the requesting thread and the batch, since either may finish first. All
// fields except `operation` and `deadline` are guarded by the committer's lock.
struct pending_operation
    : boost::intrusive_ref_counter<pending_operation>,
      boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  pending_operation(ledger_operation o, time_point d)
      : operation(std::move(o)), deadline(d) {}

  ledger_operation operation;
  time_point deadline;
  // Set when the batch ends.
  std::optional<operation_outcome> outcome;
  // The requesting thread has returned "not run" because the deadline passed.
  bool expired = false;
};

using pending_operation_ptr = boost::intrusive_ptr<pending_operation>;

}  // namespace samphire

#endif  // LEDGER_PENDING_OPERATION_H_
