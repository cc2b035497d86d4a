#ifndef LEDGER_LEDGER_OPERATION_H_
#define LEDGER_LEDGER_OPERATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "ledger/recorded_answer.h"
#include "ledger/reservation_outcome.h"
#include "ledger/reservation_ticket.h"
#include "ledger/resolution.h"
#include "ledger/settle_effect.h"

namespace samphire {

struct reserve_operation {
  reservation_ticket ticket;
};

struct complete_operation {
  reservation_ticket ticket;
  recorded_answer answer;
};

struct release_operation {
  reservation_ticket ticket;
  // The version that a write of unknown outcome was conditional on: while the
  // shard still has it, that write may yet take effect.
  std::optional<std::uint64_t> fence_version;
  // The reservation was forwarded too, and may be committed by the leader
  // later: a mark is left that refuses it.
  bool leave_mark = false;
};

struct mark_unknown_operation {
  reservation_ticket ticket;
};

struct resolve_operation {
  std::string service;
  std::string key;
  resolution as = resolution::kDone;
  std::string operator_name;
  std::string reason;
};

// One change that is asked of a shard.
using ledger_operation = std::variant<reserve_operation,
                                      complete_operation,
                                      release_operation,
                                      mark_unknown_operation,
                                      resolve_operation>;

// What a shard answers: the outcome of a reservation, or of settling one.
using operation_outcome = std::
    variant<reserved, replay, in_progress, in_doubt, refused, settle_effect>;

}  // namespace samphire

#endif  // LEDGER_LEDGER_OPERATION_H_
