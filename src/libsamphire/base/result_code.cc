#include "base/result_code.h"

#include <algorithm>
#include <array>

namespace samphire {

namespace {

using enum result_code;

constexpr auto kTable = std::to_array<result_code_info>({
    {kOk, "ok", 200, false, "Done."},

    {kFileUnreadable, "file-unreadable", 400, false,
     "The file can't be opened or read."},
    {kFileEmpty, "file-empty", 400, false, "The file holds nothing."},
    {kFileTooLarge, "file-too-large", 413, false,
     "The file is over the size that is read."},
    {kNotUtf8, "not-utf8", 400, false, "The file is not UTF-8 text."},
    {kJsonSyntax, "json-syntax", 400, false, "The file is not JSON."},
    {kJsonTooDeep, "json-too-deep", 400, false,
     "The JSON nests deeper than is read."},
    {kJsonDuplicateKey, "json-duplicate-key", 400, false,
     "An object names the same key twice."},
    {kSchemaViolation, "schema-violation", 400, false,
     "A value is not what the schema asks for."},
    {kUnknownField, "unknown-field", 400, false,
     "The schema knows no field of this name."},

    {kDuplicateName, "duplicate-name", 400, false,
     "Two things of one kind share a name."},
    {kUnknownRegion, "unknown-region", 400, false,
     "A region is named that is not declared."},
    {kUnknownFailureDomain, "unknown-failure-domain", 400, false,
     "A failure domain is named that is not declared."},
    {kUnknownTarget, "unknown-target", 400, false,
     "A target is named that is not declared."},
    {kBadClientBlock, "bad-client-block", 400, false,
     "A client block is not an address with a prefix length."},
    {kOverlappingClientBlocks, "overlapping-client-blocks", 400, false,
     "Two client blocks of equal length cover the same addresses."},
    {kDrainInPast, "drain-in-past", 400, false,
     "A drain's deadline has already passed."},
    {kDrainWithoutTime, "drain-without-time", 400, false,
     "A drain ends before it starts."},
    {kMissingDeadline, "missing-deadline", 400, false,
     "A request class declares no deadline."},
    {kValueOutOfRange, "value-out-of-range", 400, false,
     "A number is outside its bounds."},
    {kBadAddress, "bad-address", 400, false,
     "An address is not IP:PORT by number."},
    {kShiftCapToItself, "shift-cap-to-itself", 400, false,
     "A shift cap names one region twice."},
    {kAmbiguousClass, "ambiguous-class", 400, false,
     "Two request classes match the same method and path."},
    {kServiceWithoutTargets, "service-without-targets", 400, false,
     "A service declares no target."},

    {kMalformedRequest, "malformed-request", 400, false,
     "The request can't be read as HTTP/1.1 of this interface."},
    {kHeaderTooLarge, "header-too-large", 431, false,
     "The request's headers are over the limit."},
    {kBodyTooLarge, "body-too-large", 413, false,
     "The request's body is over the limit."},
    {kUnknownService, "unknown-service", 404, false,
     "No service of this name is declared."},
    {kUnknownPath, "unknown-path", 404, false,
     "No request class of the service matches the method and path."},
    {kBadDeadline, "bad-deadline", 400, false,
     "Samphirewinch-Deadline-Ms is not a number of milliseconds in range."},
    {kIdempotencyKeyMissing, "idempotency-key-missing", 400, false,
     "The class may not be repeated, so Idempotency-Key is required."},
    {kBadIdempotencyKey, "bad-idempotency-key", 400, false,
     "Idempotency-Key is empty, too long or not printable."},
    {kRequestTooSlow, "request-too-slow", 408, false,
     "The request did not arrive whole in time."},
    {kBadClientAddress, "bad-client-address", 400, false,
     "The client parameter is not an IP number."},
    {kUnknownApiKey, "unknown-api-key", 401, false,
     "The request needs exactly one API key, and one that a team holds."},

    {kQueueFull, "queue-full", 503, true,
     "The class's queue holds as many as it may."},
    {kDeadlineUnreachable, "deadline-unreachable", 503, true,
     "The expected wait and service time exceed the deadline."},
    {kShedByPriority, "shed-by-priority", 503, true,
     "The load leaves room for higher priorities only."},
    {kQueueExpired, "queue-expired", 503, true,
     "No slot came free in time for the deadline."},
    {kShiftCapReached, "shift-cap-reached", 503, true,
     "The cap on traffic from the caller's region to this one is in use."},
    {kNoTargetAvailable, "no-target-available", 503, true,
     "No target of the service can take the request."},
    {kTooManyConnections, "too-many-connections", 503, true,
     "The entry serves as many connections as it may."},
    {kEntryLeaving, "entry-leaving", 503, true,
     "The entry is stopping; look up another."},
    {kQuarantined, "quarantined", 422, false,
     "A request like this one crashed targets; it is not run again."},
    {kRetryBudgetSpent, "retry-budget-spent", 503, true,
     "An attempt failed and the retry budget is spent."},
    {kNoConfiguration, "no-configuration", 503, true,
     "The entry has no confirmed configuration yet."},
    {kNoPeerInRegion, "no-peer-in-region", 503, true,
     "No live entry is known in the region that would serve this."},
    {kConfigurationTooOld, "configuration-too-old", 503, true,
     "The entry has been cut off for longer than this class allows."},
    {kSuspectRunning, "suspect-running", 503, true,
     "A request like this lost a target and is being tried alone."},
    {kNoCommonRegion, "no-common-region", 503, false,
     "The team and the route have no region in common."},
    {kTeamLimitReached, "team-limit-reached", 429, true,
     "The team has used up its limit of requests."},
    {kTargetsPaused, "targets-paused", 503, true,
     "Every target that could take the request asked for fewer requests."},
    {kCrashesTargets, "crashes-targets", 503, true,
     "A request like this one crashed targets; it did not run."},

    {kTargetUnreachable, "target-unreachable", 503, true,
     "No connection to a target could be made."},
    {kTargetFailed, "target-failed", 502, true,
     "The target closed without an answer."},
    {kDeadlineExceeded, "deadline-exceeded", 504, true,
     "No answer came before the deadline."},
    {kAnswerTruncated, "answer-truncated", 502, true,
     "The target cut its answer short."},
    {kCallerGone, "caller-gone", 499, false,
     "The caller closed its connection; the work was cancelled."},
    {kPeerLost, "peer-lost", 502, true,
     "The entry that the request was passed to did not answer."},
    {kTargetShedding, "target-shedding", 503, true,
     "Every target tried refused for its own load."},
    {kTargetClosed, "target-closed", 502, true,
     "The target closed the connection before any part of an answer."},
    {kBodySpent, "body-spent", 503, true,
     "The body was read for an earlier attempt, so that none can send it whole "
     "any more."},
    {kCutByStop, "cut-by-stop", 502, true,
     "The entry had to end while a target may have run the request."},
    {kUnsendableHead, "unsendable-head", 502, false,
     "A message was not sent, since its head could be read in two ways."},

    {kLedgerUnavailable, "ledger-unavailable", 503, true,
     "The platform can't take the reservation, so the request is not run."},
    {kReservationInProgress, "reservation-in-progress", 409, true,
     "The same request is running; ask again for its answer."},
    {kOutcomeUnknown, "outcome-unknown", 409, false,
     "Whether the request ran is not known; an operator must settle it."},
    {kReplayed, "replayed", 200, false,
     "The recorded answer of the one run of this request."},
    {kKeyReused, "key-reused", 422, false,
     "The Idempotency-Key was used for a different request."},
    {kLedgerFull, "ledger-full", 503, true,
     "The ledger shard holds as many reservations as it may."},
    {kAnswerTooLargeToRecord, "answer-too-large-to-record", 200, false,
     "The request ran; its answer was too large to keep for a repeat."},

    {kStoreUnreachable, "store-unreachable", 503, true,
     "The platform's object API can't be reached; nothing was written."},
    {kStoreOutcomeUnknown, "store-outcome-unknown", 503, true,
     "The platform's answer was lost; the write may have taken effect."},
    {kStoreConflict, "store-conflict", 409, true,
     "The object has another version than expected."},
    {kStoreNotFound, "store-not-found", 404, false,
     "The platform holds no such object."},
    {kStoreRefused, "store-refused", 502, false,
     "The platform refused the call."},
    {kStoreValueTooLarge, "store-value-too-large", 413, false,
     "The value is over the platform's limit."},
    {kStoreCorrupt, "store-corrupt", 502, false,
     "An object does not hold what this program writes there."},

    {kPeerBadDigest, "peer-bad-digest", 403, false,
     "A peer message was not signed with the fleet's key."},
    {kPeerReplayed, "peer-replayed", 403, false,
     "A peer message was seen before or is too old."},
    {kPeerMalformed, "peer-malformed", 400, false,
     "A peer message can't be decoded."},
    {kPeerUnreachable, "peer-unreachable", 503, true,
     "No connection to the peer could be made."},
    {kPeerTimeout, "peer-timeout", 504, true,
     "The peer did not answer in time."},
    {kPeerDeclined, "peer-declined", 503, true,
     "The peer answered that it can't do what was asked."},
    {kNoPathToTarget, "no-path-to-target", 503, true,
     "No entry that was asked has a connection to the target; it did not run."},

    {kVersionConflict, "version-conflict", 409, false,
     "The configuration has another version than expected; not in force."},
    {kApplyOutcomeUnknown, "apply-outcome-unknown", 503, true,
     "The platform's answer was lost; config history tells by apply id."},
    {kWitnessNeeded, "witness-needed", 202, false,
     "Proposed only: a second operator must witness the change."},
    {kWitnessIsProposer, "witness-is-proposer", 403, false,
     "An operator can't witness a change of their own."},
    {kUnauthorized, "unauthorized", 401, false,
     "The operator token is missing or wrong."},
    {kUnknownDrain, "unknown-drain", 404, false,
     "No drain of this name is declared."},
    {kUnknownProposal, "unknown-proposal", 404, false,
     "No proposed change has this id."},
    {kUnknownLedgerKey, "unknown-ledger-key", 404, false,
     "The ledger holds no reservation of this key."},
    {kLedgerKeySettled, "ledger-key-settled", 409, false,
     "The reservation is not in doubt, so there is nothing to settle."},
    {kEntryUnreachable, "entry-unreachable", 503, true,
     "No entry answered the operator's call."},
    {kNotInForceYet, "not-in-force-yet", 504, true,
     "Accepted, but not every entry has confirmed it in the time given."},
    {kUsage, "usage", 400, false, "The command line can't be understood."},
    {kRequestNotLogged, "request-not-logged", 404, false,
     "No line of these logs names the request: it was not read there, or its "
     "process was gone first."},
});

}  // namespace

std::span<const result_code_info> ResultCodeTable() {
  return kTable;
}

const result_code_info& InfoOf(result_code code) {
  const auto* found =
      std::find_if(kTable.begin(), kTable.end(),
                   [code](const auto& info) { return info.code == code; });
  return found == kTable.end() ? kTable.front() : *found;
}

std::string_view NameOf(result_code code) {
  return InfoOf(code).name;
}

std::optional<result_code> ResultCodeOf(int number) {
  for (const auto& info : kTable) {
    if (static_cast<int>(info.code) == number)
      return info.code;
  }
  return std::nullopt;
}

}  // namespace samphire
