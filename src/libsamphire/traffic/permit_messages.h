#ifndef TRAFFIC_PERMIT_MESSAGES_H_
#define TRAFFIC_PERMIT_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "base/enum_names.h"

namespace samphire {

inline constexpr std::size_t kMaxTeamName = 255;
inline constexpr std::size_t kMaxPermitPlace = 64;

// kPermitAsk: requests a permit for one run of a team's request. Answered by
// kPermitAnswer with the same id.
struct permit_ask {
  std::uint64_t id = 0;
  std::string team;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, Bounded<kMaxTeamName>(team));
  }
};

enum class permit_verdict : std::uint8_t {
  kGranted,
  kRefused,
  // The answering entry's configuration does not contain the team.
  kUnknownTeam,
};

struct permit_answer {
  std::uint64_t id = 0;
  permit_verdict verdict = permit_verdict::kUnknownTeam;
  // Set if refused.
  std::uint32_t retry_after_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
    SerializeEnum<permit_verdict::kUnknownTeam>(archive, verdict);
    archive(retry_after_ms);
  }
};

// kPermitReturn: returns an unused permit that was granted to the sender.
struct permit_return {
  std::string team;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxTeamName>(team));
  }
};

// kPermitBorrow: requests permits for the owner in another region. Answered by
// kPermitLoan.
struct permit_borrow {
  std::string team;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxTeamName>(team));
  }
};

// kPermitLoan: transfers permits to the owner that asked for them.
struct permit_loan {
  std::string team;
  // The lender's region.
  std::string region;
  double permits = 0;
  // Peer address of the owner in the sender's region; empty if it is the
  // sender.
  std::string owner_address;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxTeamName>(team), Bounded<kMaxPermitPlace>(region),
            permits, Bounded<kMaxPermitPlace>(owner_address));
  }
};

}  // namespace samphire

#endif  // TRAFFIC_PERMIT_MESSAGES_H_
