#ifndef LEDGER_RESERVATION_OUTCOME_H_
#define LEDGER_RESERVATION_OUTCOME_H_

#include <string>
#include <variant>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "ledger/recorded_answer.h"
#include "ledger/reservation_ticket.h"

namespace samphire {

// The request may be dispatched by the holder of the ticket.
struct reserved {
  reservation_ticket ticket;
};

// The request ran before. `code` is kReplayed, or kAnswerTooLargeToRecord
// when only the status is known.
struct replay {
  recorded_answer answer;
  result_code code = result_code::kReplayed;
  // An operator said so; there is no answer of the run itself.
  bool settled_by_operator = false;
};

// The request is running, here or at another entry.
struct in_progress {
  milliseconds retry_after{0};
};

// Whether the request ran is not known; an operator has to settle it.
struct in_doubt {};

// Not run, and nothing reserved that could run.
struct refused {
  result_code code = result_code::kLedgerUnavailable;
  std::string detail;
};

using reservation_outcome =
    std::variant<reserved, replay, in_progress, in_doubt, refused>;

}  // namespace samphire

#endif  // LEDGER_RESERVATION_OUTCOME_H_
