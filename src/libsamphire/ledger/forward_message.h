#ifndef LEDGER_FORWARD_MESSAGE_H_
#define LEDGER_FORWARD_MESSAGE_H_

#include <cstdint>
#include <optional>

#include "base/bounded_codec.h"
#include "ledger/ledger_entry.h"
#include "ledger/ledger_operation.h"
#include "ledger/recorded_response.h"

namespace samphire {

// The kinds of operations that an entry forwards to the leader of a shard. The
// values are part of the peer protocol.
enum class forward_kind : std::uint8_t {
  kReserve,
  kComplete,
  kRelease,
  kMarkUnknown
};

// Payload of message_kind::kLedgerRequest: asks the leader of a shard to commit
// one operation on behalf of the sender. Fields are serialized in the order of
// their declaration.
struct forward_request {
  // Chosen by the sender and echoed in the response; unique within the sending
  // process.
  std::uint64_t id = 0;
  // Time of day, in milliseconds since the Unix epoch, after which the leader
  // must not commit the operation.
  std::int64_t expires_at = 0;
  forward_kind kind = forward_kind::kReserve;
  // The reservation's key, nonce, holder and in-doubt time, and for kComplete
  // also the response to record. Other fields are unused.
  ledger_entry entry;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, expires_at);
    SerializeEnum<forward_kind::kMarkUnknown>(archive, kind);
    archive(entry);
  }
};

// The outcome of a forwarded operation. A reservation yields one of the first
// five values; a completion, release or mark yields kRecorded, kSuperseded or
// kRefused.
enum class forward_outcome : std::uint8_t {
  kReserved,
  kReplay,
  kInProgress,
  kInDoubt,
  kRefused,
  kRecorded,
  kSuperseded
};

// Payload of message_kind::kLedgerResponse: the outcome of the forwarded
// operation with the same `id`.
struct forward_response {
  std::uint64_t id = 0;
  forward_outcome outcome = forward_outcome::kRefused;
  // Numeric result_code of a replay or refusal; 0 otherwise.
  std::int32_t code = 0;
  // For kInProgress: how long the caller should wait before it retries, in
  // milliseconds.
  std::uint32_t retry_after_ms = 0;
  // For kReplay: 1 if an operator settled the reservation, 0 if the target's
  // response did.
  std::uint8_t settled_by_operator = 0;
  // For kReplay: the recorded response of the target.
  recorded_response response;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
    SerializeEnum<forward_outcome::kSuperseded>(archive, outcome);
    archive(code, retry_after_ms, settled_by_operator, response);
  }
};

// Converts an operation to a request. Returns nullopt for operations that are
// never forwarded: those of operators, and releases that have to fence or leave
// a tombstone.
std::optional<forward_request> ToRequest(const ledger_operation& operation);
// Converts a received request back to the operation it stands for.
ledger_operation ToOperation(const forward_request& request);

// Converts an outcome to a response; the caller sets `id`.
forward_response ToResponse(const operation_outcome& outcome);
// Returns the outcome of `operation` that a response carries. Returns nullopt
// if the outcome doesn't fit the kind of operation, or is a refusal, in which
// case the sender should commit the operation itself.
std::optional<operation_outcome> ToOutcome(const forward_response& response,
                                           const ledger_operation& operation);

}  // namespace samphire

#endif  // LEDGER_FORWARD_MESSAGE_H_
