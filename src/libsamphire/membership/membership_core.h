#ifndef MEMBERSHIP_MEMBERSHIP_CORE_H_
#define MEMBERSHIP_MEMBERSHIP_CORE_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "membership/announcer.h"
#include "membership/gossip_queue.h"
#include "membership/membership_event.h"
#include "membership/membership_message.h"
#include "membership/membership_options.h"
#include "membership/membership_table.h"
#include "membership/outgoing_message.h"
#include "membership/prober.h"
#include "membership/region_digest_sender.h"
#include "membership/region_directory.h"
#include "membership/seed_list.h"
#include "peer/message_kind.h"
#include "peer/peer_message.h"

namespace samphire {

// Membership protocol of one entry (probes, suspicion, gossip, exchange with
// other regions) without sockets, threads or clocks. Messages and events are
// collected until they are taken. Not thread-safe: membership_service
// serializes all calls.
class membership_core {
 public:
  // `wall` is the time of day at `now`. `seed` starts the random generator.
  membership_core(member self,
                  const membership_options& options,
                  time_point now,
                  wall_time wall,
                  std::uint64_t seed);
  membership_core(const membership_core&) = delete;
  membership_core& operator=(const membership_core&) = delete;

  // Adds peer addresses by which the fleet can be joined.
  void AddSeeds(const std::vector<std::string>& addresses);
  // Sets what other members learn of this entry.
  void SetSelf(member_digest digest, std::uint64_t config_digest);
  // Tells all members that this entry accepts no new work.
  void AnnounceLeaving();

  // Runs the periodic tasks; called about every 100 ms.
  void Tick(time_point now);
  // Processes a verified message from a peer. Messages that cannot be decoded
  // are counted and dropped.
  void Receive(message_kind kind, const peer_message& message, time_point now);

  // Returns what has been collected since the last call, and clears it.
  std::vector<outgoing_message> TakeOutgoing();
  std::vector<membership_event> TakeEvents();

  const membership_table& table() const { return table_; }
  const region_directory& regions() const { return regions_; }
  // Time of day of this entry in milliseconds; never steps back.
  std::int64_t WallMs(time_point now) const;
  // Whether this entry exchanges digests with other regions for its region.
  bool IsDelegate() const;
  // Number of messages that could not be decoded.
  std::uint64_t malformed() const { return malformed_; }

 private:
  void OnHeard(const peer_message& message, time_point now);
  void HandleProbe(const peer_message& message, time_point now);
  void HandleAck(const peer_message& message, time_point now);
  void HandleProbeRequest(const peer_message& message, time_point now);
  void HandleJoin(const peer_message& message, time_point now);
  void HandleSyncRequest(const peer_message& message, time_point now);
  void HandleRecords(const peer_message& message, time_point now);
  void HandlePing(const peer_message& message);
  void HandlePingAck(const peer_message& message);

  void RunProbes(time_point now);
  void Suspect(const std::string& name, time_point now);
  void PingDeadMember(time_point now);
  void RetryJoins(time_point now);
  void SendRegionDigest(time_point now);
  void RequestStaleRegions(time_point now);

  void Merge(const peer_message& from,
             const gossip_block& block,
             time_point now);
  void MergeRegions(const std::vector<region_digest>& seen, time_point now);
  void AddOwnRegionContacts(const region_digest& digest);
  void ApplyMergeResult(const std::string& name,
                        membership_table::merge_result result,
                        bool full_record);
  // Sends what is announced to all other members.
  void SendAnnouncements(time_point now);
  void SendUpdates(const std::vector<member_update>& updates);
  // Tells a member that responds that it is suspected or held for dead here.
  void TellIfDoubted(const peer_message& message);
  void CompareTables(const peer_message& from,
                     const gossip_block& block,
                     time_point now);
  void RequestRegions(const peer_message& from,
                      const gossip_block& block,
                      time_point now);
  void RequestSync(const std::string& address, time_point now);
  // Returns what a message to `receiver` carries of this entry itself.
  gossip_block BuildHeader(const std::string& receiver);
  // The same with updates on other members and regions.
  gossip_block BuildGossip(const std::string& receiver);
  void SendProbe(const std::string& address,
                 std::uint64_t id,
                 gossip_block gossip);
  void SendRecords(const std::string& address,
                   const std::vector<const member*>& members);
  void SendRegions(const std::string& address, time_point now);
  void SendNewerRegions(const std::string& address,
                        const std::vector<region_version>& stale_regions);
  template <typename T>
  void Send(const std::string& address, message_kind kind, const T& message) {
    outgoing_.push_back({address, kind, EncodeBinary(message)});
  }

  const membership_options options_;
  const time_point started_at_;
  const wall_time started_wall_time_;
  std::mt19937_64 random_;
  membership_table table_;
  region_directory regions_;
  gossip_queue queue_;
  announcer announcer_;
  prober prober_;
  region_digest_sender region_sender_;
  seed_list seeds_;
  std::uint64_t config_digest_ = 0;
  time_point last_tick_;
  time_point next_join_;
  time_point next_dead_ping_;
  time_point next_sync_;
  time_point next_region_request_;
  time_point next_stale_request_;
  // Successive messages whose table checksum differed from the own one.
  int checksum_mismatches_ = 0;
  std::uint64_t malformed_ = 0;
  std::vector<outgoing_message> outgoing_;
  std::vector<membership_event> events_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_CORE_H_
