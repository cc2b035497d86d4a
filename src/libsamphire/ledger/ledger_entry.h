#ifndef LEDGER_LEDGER_ENTRY_H_
#define LEDGER_LEDGER_ENTRY_H_

#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "base/clock_source.h"
#include "ledger/recorded_answer.h"
#include "ledger/reservation_holder.h"
#include "ledger/reservation_nonce.h"
#include "ledger/reservation_state.h"

namespace samphire {

inline constexpr std::size_t kMaxIdempotencyKey = 255;
inline constexpr std::size_t kMaxServiceName = 255;
inline constexpr std::size_t kMaxRequestDigest = 64;
inline constexpr std::size_t kMaxOperatorName = 255;
inline constexpr std::size_t kMaxReason = 1024;

// What the ledger keeps of one (service, key).
struct ledger_entry {
  std::string service;
  std::string key;
  // Of method, path and body: tells a repeat from another request.
  std::string request_digest;
  reservation_nonce nonce;
  reservation_holder holder;
  reservation_state state = reservation_state::kReserved;
  // A reservation that is not settled by then is in doubt.
  wall_time doubt_after;
  wall_time changed_at;
  recorded_answer answer;
  // Who settled it by hand, and why.
  std::string settled_by;
  std::string reason;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxServiceName>(service), Bounded<kMaxIdempotencyKey>(key),
            Bounded<kMaxRequestDigest>(request_digest), nonce, holder);
    SerializeEnum<reservation_state::kUnknown>(archive, state);
    SerializeTime(archive, doubt_after);
    SerializeTime(archive, changed_at);
    archive(answer, Bounded<kMaxOperatorName>(settled_by),
            Bounded<kMaxReason>(reason));
  }

 private:
  template <typename Archive>
  static void SerializeTime(Archive& archive, wall_time& time) {
    std::int64_t count =
        std::chrono::duration_cast<microseconds>(time.time_since_epoch())
            .count();
    archive(count);
    // Far beyond any real date, yet far from overflow in nanoseconds.
    constexpr std::int64_t kLatest = std::int64_t{1} << 52;
    if (count < 0 || count > kLatest)
      throw cereal::Exception("time out of range");
    if constexpr (Archive::is_loading::value)
      time = wall_time(microseconds(count));
  }
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_ENTRY_H_
