#ifndef BASE_RESULT_CODE_H_
#define BASE_RESULT_CODE_H_

#include <optional>
#include <span>
#include <string_view>

namespace samphire {

// Outcomes reported to callers, operators and other processes. The numbers are
// part of the public interface and are never reused with another meaning.
enum class result_code : int {
  kOk = 0,

  // 10xx: a file cannot be read as JSON that conforms to its schema.
  kFileUnreadable = 1001,
  kFileEmpty = 1002,
  kFileTooLarge = 1003,
  kNotUtf8 = 1004,
  kJsonSyntax = 1005,
  kJsonTooDeep = 1006,
  kJsonDuplicateKey = 1007,
  kSchemaViolation = 1008,
  kUnknownField = 1009,

  // 11xx: a declaration conforms to the schema but is semantically invalid.
  kDuplicateName = 1101,
  kUnknownRegion = 1102,
  kUnknownFailureDomain = 1103,
  kUnknownTarget = 1104,
  kBadClientBlock = 1105,
  kOverlappingClientBlocks = 1106,
  kDrainInPast = 1107,
  kDrainWithoutTime = 1108,
  kMissingDeadline = 1109,
  kValueOutOfRange = 1110,
  kBadAddress = 1111,
  kShiftCapToItself = 1112,
  kAmbiguousClass = 1113,
  kServiceWithoutTargets = 1114,

  // 20xx: the request itself is invalid; it did not run.
  kMalformedRequest = 2001,
  kHeaderTooLarge = 2002,
  kBodyTooLarge = 2003,
  kUnknownService = 2004,
  kUnknownPath = 2005,
  kBadDeadline = 2006,
  kIdempotencyKeyMissing = 2007,
  kBadIdempotencyKey = 2008,
  kRequestTooSlow = 2009,
  kBadClientAddress = 2010,
  kUnknownApiKey = 2011,

  // 21xx: refused because of load or a failure; the request did not run and may
  // be retried later.
  kQueueFull = 2101,
  kDeadlineUnreachable = 2102,
  kShedByPriority = 2103,
  kQueueExpired = 2104,
  kShiftCapReached = 2105,
  kNoTargetAvailable = 2106,
  kTooManyConnections = 2107,
  kEntryLeaving = 2108,
  kQuarantined = 2109,
  kRetryBudgetSpent = 2110,
  kNoConfiguration = 2111,
  kNoPeerInRegion = 2112,
  kConfigurationTooOld = 2113,
  kSuspectRunning = 2114,
  kNoCommonRegion = 2115,
  kTeamLimitReached = 2116,
  kTargetsPaused = 2117,
  kCrashesTargets = 2118,

  // 22xx: the request was dispatched, but no complete response was received.
  kTargetUnreachable = 2201,
  kTargetFailed = 2202,
  kDeadlineExceeded = 2203,
  kAnswerTruncated = 2204,
  kCallerGone = 2205,
  kPeerLost = 2206,
  kTargetShedding = 2207,
  kTargetClosed = 2208,
  kBodySpent = 2209,
  kCutByStop = 2210,
  kUnsendableHead = 2211,

  // 23xx: requests with at-most-once semantics.
  kLedgerUnavailable = 2301,
  kReservationInProgress = 2302,
  kOutcomeUnknown = 2303,
  kReplayed = 2304,
  kKeyReused = 2305,
  kLedgerFull = 2306,
  kAnswerTooLargeToRecord = 2307,

  // 30xx: calls to the object API of the platform, the external store.
  kStoreUnreachable = 3001,
  kStoreOutcomeUnknown = 3002,
  kStoreConflict = 3003,
  kStoreNotFound = 3004,
  kStoreRefused = 3005,
  kStoreValueTooLarge = 3006,
  kStoreCorrupt = 3007,

  // 40xx: messages between processes of this system.
  kPeerBadDigest = 4001,
  kPeerReplayed = 4002,
  kPeerMalformed = 4003,
  kPeerUnreachable = 4004,
  kPeerTimeout = 4005,
  kPeerDeclined = 4006,
  kNoPathToTarget = 4007,

  // 50xx: operator calls.
  kVersionConflict = 5001,
  kApplyOutcomeUnknown = 5002,
  kWitnessNeeded = 5003,
  kWitnessIsProposer = 5004,
  kUnauthorized = 5005,
  kUnknownDrain = 5006,
  kUnknownProposal = 5007,
  kUnknownLedgerKey = 5008,
  kLedgerKeySettled = 5009,
  kEntryUnreachable = 5010,
  kNotInForceYet = 5011,
  kUsage = 5012,
  kRequestNotLogged = 5013,
};

// The table entry of a result code.
struct result_code_info {
  result_code code;
  // The name used on the wire, in logs and in metrics.
  std::string_view name;
  // The HTTP status sent to the caller.
  int http_status;
  // Whether the same request may succeed later. If so, the response carries a
  // Retry-After header.
  bool retryable;
  // One sentence that explains the code to callers and operators.
  std::string_view meaning;
};

// Returns the entries of all codes, ordered by number.
std::span<const result_code_info> ResultCodeTable();
// Returns the entry of `code`, or that of kOk if the table lacks it.
const result_code_info& InfoOf(result_code code);
// Returns the outer name of `code`, such as "queue-full".
std::string_view NameOf(result_code code);
// Returns the code with this number, or nothing if there is none.
std::optional<result_code> ResultCodeOf(int number);

}  // namespace samphire

#endif  // BASE_RESULT_CODE_H_
