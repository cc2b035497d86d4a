#ifndef LEDGER_LEDGER_ENTRY_H_
#define LEDGER_LEDGER_ENTRY_H_

#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "base/clock_source.h"
#include "ledger/recorded_response.h"
#include "ledger/reservation_holder.h"
#include "ledger/reservation_nonce.h"
#include "ledger/reservation_state.h"

namespace samphire {

// Upper bounds on the strings of an entry, in bytes. They bound both what
// callers may send and what a decoder allocates.
inline constexpr std::size_t kMaxIdempotencyKey = 255;
inline constexpr std::size_t kMaxServiceName = 255;
inline constexpr std::size_t kMaxRequestDigest = 64;
inline constexpr std::size_t kMaxOperatorName = 255;
inline constexpr std::size_t kMaxReason = 1024;

// The stored reservation of one (service, idempotency key) pair. The field
// order of serialize() is the stored format.
struct ledger_entry {
  std::string service;
  std::string key;
  // Digest of method, path and body, which tells a repeat from a different
  // request that reuses the key.
  std::string request_digest;
  // Identifies the reservation that created this entry.
  reservation_nonce nonce;
  // The process that may dispatch the request.
  reservation_holder holder;
  reservation_state state = reservation_state::kReserved;
  // Time of day from which a reservation that is not settled counts as in
  // doubt.
  wall_time in_doubt_after;
  // Time of day of the last change of state; retention counts from it.
  wall_time changed_at;
  // The target's response, set in state kDone.
  recorded_response response;
  // The operator who settled the reservation, and the reason given; both are
  // empty if no operator did.
  std::string settled_by;
  std::string reason;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxServiceName>(service), Bounded<kMaxIdempotencyKey>(key),
            Bounded<kMaxRequestDigest>(request_digest), nonce, holder);
    SerializeEnum<reservation_state::kUnknown>(archive, state);
    SerializeTime(archive, in_doubt_after);
    SerializeTime(archive, changed_at);
    archive(response, Bounded<kMaxOperatorName>(settled_by),
            Bounded<kMaxReason>(reason));
  }

 private:
  // Stores a time of day as microseconds since the Unix epoch.
  template <typename Archive>
  static void SerializeTime(Archive& archive, wall_time& time) {
    std::int64_t count =
        std::chrono::duration_cast<microseconds>(time.time_since_epoch())
            .count();
    archive(count);
    // Upper bound on a stored time: far beyond any real date, yet low enough
    // that the conversion to nanoseconds can't overflow.
    constexpr std::int64_t kLatest = std::int64_t{1} << 52;
    if (count < 0 || count > kLatest)
      throw cereal::Exception("ledger entry time out of range");
    if constexpr (Archive::is_loading::value)
      time = wall_time(microseconds(count));
  }
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_ENTRY_H_
