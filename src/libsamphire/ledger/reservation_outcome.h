#ifndef LEDGER_RESERVATION_OUTCOME_H_
#define LEDGER_RESERVATION_OUTCOME_H_

#include <string>
#include <variant>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "ledger/recorded_response.h"
#include "ledger/reservation_ticket.h"

namespace samphire {

// The request may be dispatched by the holder of the ticket.
struct reserved {
  reservation_ticket ticket;
};

// The request was executed before. `code` is kReplayed, or
// kAnswerTooLargeToRecord if only the status of the response is known.
struct replay {
  recorded_response response;
  result_code code = result_code::kReplayed;
  // Whether an operator declared the request executed; then there is no
  // response of the target.
  bool settled_by_operator = false;
};

// The request is being executed, by this or another entry.
struct in_progress {
  // Suggested wait before the caller retries.
  milliseconds retry_after{0};
};

// It is unknown whether the request was executed; an operator has to settle it.
struct in_doubt {};

// The request was not executed, and no reservation exists that would allow it
// to be.
struct refused {
  result_code code = result_code::kLedgerUnavailable;
  // Explanation for logs; may be empty.
  std::string detail;
};

// The outcome of ledger::Reserve.
using reservation_outcome =
    std::variant<reserved, replay, in_progress, in_doubt, refused>;

}  // namespace samphire

#endif  // LEDGER_RESERVATION_OUTCOME_H_
