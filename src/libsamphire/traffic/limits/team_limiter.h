#ifndef TRAFFIC_LIMITS_TEAM_LIMITER_H_
#define TRAFFIC_LIMITS_TEAM_LIMITER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "base/clock_source.h"
#include "base/sharded.h"
#include "metrics/metrics.h"
#include "peer/peer_transport.h"
#include "routing/limit_permits.h"
#include "routing/permit_grantors.h"
#include "routing/startup_allowance.h"
#include "traffic/limits/permit_messages.h"
#include "traffic/limits/team_permit.h"
#include "traffic/placing/peer_query.h"
#include "traffic/traffic_settings.h"
#include "traffic/traffic_state.h"

namespace samphire {

// Enforces team limits, in requests per second, across all entries. Requests
// permits from the entry that grants them in this region, and grants permits of
// the teams that this entry owns. Thread-safe; messages of peers are handled on
// the transport's receiving thread.
class team_limiter {
 public:
  // Request ids count up from `first_id`.
  team_limiter(peer_transport& transport,
               const traffic_settings& settings,
               const traffic_state& state,
               const clock_source& clock,
               metrics& counters,
               std::uint64_t first_id);
  ~team_limiter();
  team_limiter(const team_limiter&) = delete;
  team_limiter& operator=(const team_limiter&) = delete;

  // Decides whether one more run of a request of the team is allowed. Blocks
  // until the queried entry responds, for up to 100 ms per entry. Always grants
  // if the team is unknown or has no limit.
  team_permit Take(const std::string& team);
  // Returns a granted permit that no run has used, so that another request can
  // use it.
  void ReturnPermit(const std::string& team, const team_permit& permit);
  // Must be called when the entries of the region have changed.
  void OnEntriesChanged();

 private:
  struct team_state {
    limit_permits permits;
    // The last refusal by another entry, and the time of its arrival.
    team_permit refusal;
    std::optional<time_point> refused_at;
  };
  using team_map = std::map<std::string, team_state>;

  void OnRequest(const peer_message& message);
  void OnResponse(const peer_message& message);
  void OnReturn(const peer_message& message);
  void OnLoanRequest(const peer_message& message);
  void OnLoan(const peer_message& message);

  // Takes a permit from the region's owner or backup owner. Returns nothing if
  // neither responds.
  std::optional<team_permit> TakeFromGrantor(const std::string& team,
                                             const rate_limit& limit);
  // Applies the startup allowance. Returns nothing if the request may proceed
  // or the startup time is over.
  std::optional<team_permit> StartupRefusal(const traffic_manifest& manifest,
                                            const traffic_team& team);
  // Returns the cached refusal of the team if it is still valid.
  std::optional<team_permit> RecentRefusal(const std::string& team);
  // Whether another entry refused the team a permit in the last few seconds.
  bool WasRefusedRecently(const std::string& team);
  void CacheRefusal(const std::string& team, const team_permit& refusal);
  // Takes a permit from this entry's own share for `role`, and requests loans
  // from other regions if the owner's share runs short.
  permit_decision TakeLocally(const std::string& team,
                              permit_role role,
                              const rate_limit& limit);
  void ReturnLocally(const std::string& team, permit_role role);
  // Requests loans of permits from the owners in all other regions.
  void RequestLoans(const std::string& team);
  // Returns the cached address of the owner in another region, or else of any
  // entry there, which responds with the owner's address.
  std::string LoanRequestAddress(const std::string& region,
                                 const std::vector<std::string>& contacts,
                                 const std::string& team);
  // Whether the entry at `index` of the list is this one.
  bool IsSelf(const entry_list& entries,
              const std::optional<std::size_t>& index) const;
  permit_role OwnRole(const std::string& team) const;
  // Returns null if there is no manifest or it does not contain the team.
  const traffic_team* FindTeam(const traffic_manifest* manifest,
                               const std::string& team) const;
  permit_shares Shares() const;
  template <typename Message>
  void Send(const std::string& address,
            message_kind kind,
            const Message& message);
  template <typename Message>
  std::optional<Message> Decode(const peer_message& message);

  peer_transport& transport_;
  const traffic_settings& settings_;
  const traffic_state& state_;
  const clock_source& clock_;
  metrics& metrics_;
  // The context is the team, to which a late permit is returned.
  peer_query<permit_request, permit_response, std::string> permit_query_;
  sharded<team_map> teams_;
  // When this entry started.
  const time_point started_;
  // Guards the members below.
  std::mutex lock_;
  startup_allowance startup_;
  // Peer addresses of owners in other regions, by team and region.
  std::map<std::pair<std::string, std::string>, std::string> owner_addresses_;
  std::size_t next_contact_ = 0;
};

}  // namespace samphire

#endif  // TRAFFIC_LIMITS_TEAM_LIMITER_H_
