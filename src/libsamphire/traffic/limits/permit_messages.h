#ifndef TRAFFIC_LIMITS_PERMIT_MESSAGES_H_
#define TRAFFIC_LIMITS_PERMIT_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "base/enum_names.h"

namespace samphire {

// Upper bounds on the lengths of strings in these messages.
inline constexpr std::size_t kMaxTeamNameBytes = 255;
// Bounds names of regions and peer addresses.
inline constexpr std::size_t kMaxPermitLocationBytes = 64;

// kPermitRequest: requests a permit for one run of a team's request. Answered
// by kPermitResponse with the same id.
struct permit_request {
  // Unique among the requests of the sending process.
  std::uint64_t id = 0;
  std::string team;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, Bounded<kMaxTeamNameBytes>(team));
  }
};

enum class permit_verdict : std::uint8_t {
  kGranted,
  kRefused,
  // The configuration of the responding entry does not contain the team.
  kUnknownTeam,
};

// kPermitResponse: the decision on a permit_request.
struct permit_response {
  // The id of the permit_request.
  std::uint64_t id = 0;
  permit_verdict verdict = permit_verdict::kUnknownTeam;
  // The time after which to retry. Set if refused.
  std::uint32_t retry_after_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
    SerializeEnum<permit_verdict::kUnknownTeam>(archive, verdict);
    archive(retry_after_ms);
  }
};

// kPermitReturn: returns an unused permit that was granted to the sender. Not
// acknowledged.
struct permit_return {
  std::string team;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxTeamNameBytes>(team));
  }
};

// kPermitLoanRequest: requests a loan of permits from the team's owner in the
// receiver's region, on behalf of the owner in the sender's region. Answered by
// kPermitLoan.
struct permit_loan_request {
  std::string team;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxTeamNameBytes>(team));
  }
};

// kPermitLoan: transfers permits to the owner that requested them.
struct permit_loan {
  std::string team;
  // The lender's region.
  std::string region;
  // The number of permits lent; 0 if the owner has none to spare or the sender
  // is not the owner.
  double permits = 0;
  // Peer address of the owner in the sender's region; empty if the sender is
  // the owner.
  std::string owner_address;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxTeamNameBytes>(team),
            Bounded<kMaxPermitLocationBytes>(region), permits,
            Bounded<kMaxPermitLocationBytes>(owner_address));
  }
};

}  // namespace samphire

#endif  // TRAFFIC_LIMITS_PERMIT_MESSAGES_H_
