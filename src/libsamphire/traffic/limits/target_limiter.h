#ifndef TRAFFIC_LIMITS_TARGET_LIMITER_H_
#define TRAFFIC_LIMITS_TARGET_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "base/log_level.h"
#include "base/sharded.h"
#include "metrics/metrics.h"
#include "peer/peer_transport.h"
#include "routing/known_rate_limit.h"
#include "routing/limit_permits.h"
#include "routing/live_target.h"
#include "routing/target_notice.h"
#include "traffic/limits/target_messages.h"
#include "traffic/limits/target_news_channel.h"
#include "traffic/placing/peer_query.h"
#include "traffic/traffic_settings.h"
#include "traffic/traffic_state.h"

namespace samphire {

// Enforces the rate limits that targets name in their responses, across all
// entries. One entry of a target's region, the owner, grants the permits for
// it; the others, also those of other regions, request a permit for each
// attempt. Thread-safe; messages of peers are handled on the transport's
// receiving thread.
class target_limiter {
 public:
  // Request ids count up from `first_id`.
  target_limiter(peer_transport& transport,
                 target_news_channel& news,
                 const traffic_settings& settings,
                 const traffic_state& state,
                 const clock_source& clock,
                 metrics& counters,
                 std::uint64_t first_id);
  ~target_limiter();
  target_limiter(const target_limiter&) = delete;
  target_limiter& operator=(const target_limiter&) = delete;

  // Returns whether the target has named a limit, as far as this entry knows.
  bool IsLimited(const live_target& target);
  // Decides whether one more request may be sent to the target. Always grants
  // if the target has no limit. Otherwise blocks until the queried entry
  // responds: up to 50 ms per entry in this region, 200 ms in another one.
  permit_decision Take(const live_target& target);
  // Applies what the target said in its response to a request that was sent at
  // `sent_at`.
  void OnResponse(const live_target& target,
                  const target_notice& notice,
                  time_point sent_at);
  // Applies what another entry heard.
  void OnNews(const target_news& news);
  // Must be called when the entries of the region have changed.
  void OnEntriesChanged();

 private:
  struct limited_target {
    known_rate_limit limit;
    limit_permits permits;
  };
  using target_map = std::map<std::string, limited_target, std::less<>>;
  // An entry that may grant permits.
  struct grantor {
    // Empty for this entry.
    std::string address;
    permit_role role = permit_role::kOwner;
  };

  void OnPermitRequest(const peer_message& message);
  void OnPermitResponse(const peer_message& message);

  // Returns nothing if the target has no limit.
  std::optional<target_limit_news> LimitOf(const std::string& target);
  // Applies what a peer knows. Returns whether the limit began or ended.
  bool ApplyNews(const std::string& target, const target_limit_news& limit);
  // Returns the entries to ask for a permit, in this order.
  std::vector<grantor> GrantorsOf(const live_target& target);
  // Returns the address of the owner in another region if it is known, or else
  // of any entry there. Empty if none is known.
  std::string AddressInRegion(const live_target& target);
  void ForgetAddress(const std::string& target);
  // Returns nothing if no other entry responds.
  std::optional<target_permit_response> TakeFromGrantor(
      const live_target& target,
      const target_limit_news& limit);
  std::optional<target_permit_response> RequestPermit(
      const grantor& from,
      const live_target& target,
      const target_limit_news& limit);
  target_permit_response TakeLocally(const std::string& target,
                                     permit_role role);
  // Returns the owner of the target's permits in this region.
  std::optional<std::size_t> OwnerIndex(const entry_list& entries,
                                        const std::string& target) const;
  bool IsSelf(const entry_list& entries,
              const std::optional<std::size_t>& index) const;
  permit_shares Shares() const;
  // Drops targets if there are many.
  void Prune(target_map& targets) const;
  void LogChange(log_level level,
                 const std::string& service,
                 const std::string& target,
                 const std::optional<double>& rate,
                 const char* source);
  template <typename Message>
  void Send(const std::string& address,
            message_kind kind,
            const Message& message);
  template <typename Message>
  std::optional<Message> Decode(const peer_message& message);

  peer_transport& transport_;
  target_news_channel& news_;
  const traffic_settings& settings_;
  const traffic_state& state_;
  const clock_source& clock_;
  metrics& metrics_;
  peer_query<target_permit_request, target_permit_response, std::string>
      permit_query_;
  // The targets that have named a limit, by id.
  sharded<target_map> targets_;
  // Guards the members below.
  std::mutex lock_;
  // Peer addresses of owners in other regions, by target id.
  std::map<std::string, std::string, std::less<>> owner_addresses_;
  std::size_t next_contact_ = 0;
};

}  // namespace samphire

#endif  // TRAFFIC_LIMITS_TARGET_LIMITER_H_
