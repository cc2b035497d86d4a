#ifndef MEMBERSHIP_MEMBERSHIP_CORE_H_
#define MEMBERSHIP_MEMBERSHIP_CORE_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "membership/gossip_queue.h"
#include "membership/membership_event.h"
#include "membership/membership_message.h"
#include "membership/membership_options.h"
#include "membership/membership_table.h"
#include "membership/outgoing_message.h"
#include "membership/prober.h"
#include "membership/region_directory.h"
#include "membership/region_speaker.h"
#include "membership/seed_list.h"
#include "peer/message_kind.h"
#include "peer/peer_message.h"

namespace samphire {

// Membership of one entry without sockets, threads or clocks. What is to be
// sent and told is collected until it is taken.
class membership_core {
 public:
  membership_core(member self,
                  const membership_options& options,
                  time_point now,
                  wall_time wall,
                  std::uint64_t seed);
  membership_core(const membership_core&) = delete;
  membership_core& operator=(const membership_core&) = delete;

  void AddSeeds(const std::vector<std::string>& addresses);
  void SetSelf(member_digest digest, std::uint64_t config_digest);
  void AnnounceLeaving();

  // Called every 100 ms or so.
  void Tick(time_point now);
  void Receive(message_kind kind, const peer_message& message, time_point now);

  std::vector<outgoing_message> TakeOutgoing();
  std::vector<membership_event> TakeEvents();

  const membership_table& table() const { return table_; }
  const region_directory& regions() const { return regions_; }
  // Time of day here in milliseconds, which never steps back.
  std::int64_t WallMs(time_point now) const;
  bool IsDelegate() const;
  // Messages that couldn't be decoded.
  std::uint64_t malformed() const { return malformed_; }

 private:
  void HandleProbe(const peer_message& message, time_point now);
  void HandleAck(const peer_message& message, time_point now);
  void HandleProbeRequest(const peer_message& message, time_point now);
  void HandleJoin(const peer_message& message, time_point now);
  void HandleSyncAsk(const peer_message& message, time_point now);
  void HandleRecords(const peer_message& message, time_point now);

  void RunProbes(time_point now);
  void Knock(time_point now);
  void SpeakToRegions(time_point now);
  void RefreshRegions(time_point now);

  void Merge(const peer_message& from,
             const gossip_block& block,
             time_point now);
  void MergeRegions(const std::vector<region_digest>& seen, time_point now);
  void MeetOwnRegion(const region_digest& told);
  void Note(const std::string& name,
            membership_table::effect effect,
            bool in_full);
  void Contradict();
  void CompareTables(const peer_message& from,
                     const gossip_block& block,
                     time_point now);
  void AskForRegions(const peer_message& from,
                     const gossip_block& block,
                     time_point now);
  void AskForSync(const std::string& address, time_point now);
  gossip_block Compose(const std::string& receiver);
  void SendProbe(const std::string& address,
                 const std::string& name,
                 std::uint64_t id);
  void SendRecords(const std::string& address,
                   const std::vector<const member*>& members);
  void SendRegions(const std::string& address, time_point now);
  void SendNewer(const std::string& address,
                 const std::vector<region_stamp>& stale);
  template <typename T>
  void Send(const std::string& address, message_kind kind, const T& message) {
    outgoing_.push_back({address, kind, EncodeBinary(message)});
  }

  const membership_options options_;
  const time_point started_at_;
  const wall_time started_wall_;
  std::mt19937_64 random_;
  membership_table table_;
  region_directory regions_;
  gossip_queue queue_;
  prober prober_;
  region_speaker speaker_;
  seed_list seeds_;
  std::uint64_t config_digest_ = 0;
  time_point last_tick_;
  time_point next_knock_;
  time_point next_sync_;
  time_point next_region_ask_;
  time_point next_refresh_;
  int mismatches_ = 0;
  std::uint64_t malformed_ = 0;
  std::vector<outgoing_message> outgoing_;
  std::vector<membership_event> events_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_CORE_H_
