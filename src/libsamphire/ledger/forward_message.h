#ifndef LEDGER_FORWARD_MESSAGE_H_
#define LEDGER_FORWARD_MESSAGE_H_

#include <cstdint>
#include <optional>

#include "base/bounded_codec.h"
#include "ledger/ledger_entry.h"
#include "ledger/ledger_operation.h"
#include "ledger/recorded_answer.h"

namespace samphire {

enum class forward_kind : std::uint8_t {
  kReserve,
  kComplete,
  kRelease,
  kMarkUnknown
};

// kLedgerAsk: commit this for me.
struct forward_ask {
  std::uint64_t id = 0;
  // Time of day in milliseconds after which it must not be committed.
  std::int64_t expires_at = 0;
  forward_kind kind = forward_kind::kReserve;
  ledger_entry entry;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, expires_at);
    SerializeEnum<forward_kind::kMarkUnknown>(archive, kind);
    archive(entry);
  }
};

enum class forward_outcome : std::uint8_t {
  kReserved,
  kReplay,
  kInProgress,
  kInDoubt,
  kRefused,
  kRecorded,
  kSuperseded
};

// kLedgerAnswer: what became of it.
struct forward_answer {
  std::uint64_t id = 0;
  forward_outcome outcome = forward_outcome::kRefused;
  // Of a replay or refusal.
  std::int32_t code = 0;
  std::uint32_t retry_after_ms = 0;
  std::uint8_t settled_by_operator = 0;
  recorded_answer answer;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
    SerializeEnum<forward_outcome::kSuperseded>(archive, outcome);
    archive(code, retry_after_ms, settled_by_operator, answer);
  }
};

// An operation as an ask, unless it is one that is not forwarded.
std::optional<forward_ask> ToAsk(const ledger_operation& operation);
ledger_operation ToOperation(const forward_ask& ask);

forward_answer ToAnswer(const operation_outcome& outcome);
// The outcome of `operation` that an answer tells; nothing when the two don't
// go together.
std::optional<operation_outcome> ToOutcome(const forward_answer& answer,
                                           const ledger_operation& operation);

}  // namespace samphire

#endif  // LEDGER_FORWARD_MESSAGE_H_
