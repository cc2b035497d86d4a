#include "membership/membership_core.h"

#include <algorithm>
#include <utility>

#include "membership/ping_message.h"

namespace samphire {

namespace {

// Ticks come every 100 ms. A gap of this length means that this process was
// paused, not its peers.
constexpr milliseconds kMinPauseGap{700};
// Factor by which joins are sent less often while the whole fleet is reachable.
// They then only serve to find parts of the fleet that have never learned of
// each other.
constexpr int kStableJoinFactor = 60;
// Addresses that are sent a join per round while this entry is joining.
constexpr std::size_t kJoiningSeeds = 3;
// Bounds the random position in the seed list at which an entry starts.
constexpr std::uint64_t kMaxFirstSeedIndex = 1000;
// Factor by which joins are sent more often while this entry knows no other
// member, as an entry on its own is of little use to callers.
constexpr int kJoiningSpeedup = 5;
// An entry that has just started counts as joining for this long, too. Entries
// of a region that start together first meet whichever others were quick. If
// they stopped there, they would remain in small groups until other regions
// happen to name the rest, and several entries would each take a share that is
// meant for one.
constexpr milliseconds kJoiningTime{5000};
// A region whose newest digest is older than this counts as unreachable.
constexpr milliseconds kUnreachableRegionAge{120'000};
// Bound on the member records in one datagram.
constexpr std::size_t kMaxRecordBytesPerMessage = 1000;
// Time after its death for which a member is pinged, as it may only have been
// cut off.
constexpr milliseconds kRecentDeath{60'000};
// Bound on the updates on members in one datagram.
constexpr std::size_t kMaxUpdateBytesPerMessage = 800;
// Bound on the region digests in one datagram.
constexpr std::size_t kMaxRegionsPerMessage = 4;

}  // namespace

membership_core::membership_core(member self,
                                 const membership_options& options,
                                 time_point now,
                                 wall_time wall,
                                 std::uint64_t seed)
    : options_(options),
      started_at_(now),
      started_wall_time_(wall),
      random_(seed),
      table_(std::move(self), options),
      regions_(table_.self().region),
      prober_(options, now, random_),
      region_sender_(options, now, random_),
      seeds_(random_() % kMaxFirstSeedIndex),
      last_tick_(now),
      next_join_(now),
      next_dead_ping_(now),
      next_sync_(now),
      next_region_request_(now),
      next_stale_request_(now) {}

void membership_core::AddSeeds(const std::vector<std::string>& addresses) {
  for (const auto& address : addresses)
    seeds_.Add(address);
}

void membership_core::SetSelf(member_digest digest,
                              std::uint64_t config_digest) {
  // Entries that hold no configuration are not named to callers.
  const bool becomes_ready =
      table_.self().digest.config_version == 0 && digest.config_version > 0;
  table_.SetDigest(std::move(digest));
  config_digest_ = config_digest;
  if (becomes_ready)
    announcer_.Add(table_.self().name, last_tick_);
}

// Sent to every member directly instead of by gossip: callers are sent to this
// entry until the last member knows, and the shutdown waits for that. The cost
// is a few messages to each member, once in the lifetime of a process.
void membership_core::AnnounceLeaving() {
  table_.SetState(member_state::kLeaving);
  queue_.AddMember(table_.self().name, false);
  announcer_.Add(table_.self().name, last_tick_);
  SendAnnouncements(last_tick_);
}

void membership_core::Tick(time_point now) {
  const auto gap = now - last_tick_;
  last_tick_ = now;
  // After a pause, all probes of this process have gone unanswered. Without a
  // reset it would declare its whole region suspected, and every member would
  // have to refute that.
  if (gap > kMinPauseGap) {
    prober_.Reset(now);
    table_.PostponeTimers(gap);
  }
  RunProbes(now);
  for (const auto& name : table_.Expire(now))
    ApplyMergeResult(name, membership_table::merge_result::kChanged, false);
  SendAnnouncements(now);
  PingDeadMember(now);
  RetryJoins(now);
  SendRegionDigest(now);
  RequestStaleRegions(now);
}

void membership_core::RunProbes(time_point now) {
  for (const auto& step : prober_.Tick(table_, now)) {
    const auto* subject = table_.Find(step.subject);
    if (subject == nullptr)
      continue;
    switch (step.kind) {
      case prober::action_kind::kPing:
        Send(subject->peer_address, message_kind::kPing, ping_message{step.id});
        break;
      case prober::action_kind::kProbe:
        SendProbe(subject->peer_address, step.id, BuildHeader(subject->name));
        break;
      case prober::action_kind::kProbeWithGossip:
        SendProbe(subject->peer_address, step.id, BuildGossip(subject->name));
        break;
      case prober::action_kind::kRequestIndirectProbe:
        Send(table_.Find(step.helper)->peer_address,
             message_kind::kProbeRequest,
             probe_request_message{step.id, subject->peer_address,
                                   BuildHeader(step.helper)});
        break;
      case prober::action_kind::kSuspect:
        Suspect(step.subject, now);
        break;
    }
  }
}

void membership_core::Suspect(const std::string& name, time_point now) {
  const auto result = table_.MarkSuspected(name, now);
  ApplyMergeResult(name, result, false);
  if (result == membership_table::merge_result::kChanged)
    announcer_.Add(name, now);
}

// Gossip takes seconds to reach the last member, and callers are sent to an
// entry that has ended until it does.
void membership_core::SendAnnouncements(time_point now) {
  std::vector<member_update> updates;
  for (const auto& name : announcer_.TakeDue(now)) {
    const auto* known = table_.Find(name);
    if (name == table_.self().name) {
      for (const auto& receiver : table_.ProbedMembers())
        SendRecords(table_.Find(receiver)->peer_address, {known});
    } else if (known == nullptr || known->state == member_state::kAlive) {
      announcer_.Remove(name);
    } else {
      updates.push_back(UpdateOf(*known));
    }
  }
  SendUpdates(updates);
}

void membership_core::SendUpdates(const std::vector<member_update>& updates) {
  std::vector<std::vector<member_update>> parts;
  std::size_t bytes = kMaxUpdateBytesPerMessage;
  for (const auto& update : updates) {
    bytes += WireSize(update);
    if (bytes > kMaxUpdateBytesPerMessage) {
      parts.emplace_back();
      bytes = WireSize(update);
    }
    parts.back().push_back(update);
  }
  for (const auto& name : table_.AliveMembers()) {
    if (name == table_.self().name)
      continue;
    for (const auto& part : parts) {
      auto news = BuildHeader(name);
      news.updates.insert(news.updates.end(), part.begin(), part.end());
      Send(table_.Find(name)->peer_address, message_kind::kProbeAck,
           probe_message{kNoProbe, std::move(news)});
    }
  }
}

// A member that was cut off and declared dead serves its callers all the while.
// The sooner it hears of its death after the cut, the sooner look-ups name it.
void membership_core::PingDeadMember(time_point now) {
  if (now < next_dead_ping_)
    return;
  next_dead_ping_ = now + options_.watch_interval;
  const auto names = table_.MembersDeadWithin(kRecentDeath, now);
  if (names.empty())
    return;
  std::uniform_int_distribution<std::size_t> pick(0, names.size() - 1);
  Send(table_.Find(names[pick(random_)])->peer_address, message_kind::kPing,
       ping_message{kNoProbe});
}

// After a network partition each side has declared the other dead and no longer
// probes it. Delegates keep sending joins to dead members and to the seeds, or
// the two sides would never find each other again.
void membership_core::RetryJoins(time_point now) {
  if (now < next_join_)
    return;
  const bool joining =
      table_.ProbedMembers().empty() || now - started_at_ < kJoiningTime;
  const auto fresh = regions_.FreshWithin(kUnreachableRegionAge, WallMs(now));
  const bool unstable = joining || !table_.DeadMembers().empty() ||
                        fresh.size() < regions_.digests().size();
  next_join_ =
      now + options_.join_retry_interval * (unstable ? 1 : kStableJoinFactor);
  if (joining)
    next_join_ = now + options_.join_retry_interval / kJoiningSpeedup;
  if (!joining && !IsDelegate())
    return;
  for (const auto& address : seeds_.Next(table_, joining ? kJoiningSeeds : 1))
    Send(address, message_kind::kJoin, join_message{table_.self()});
}

void membership_core::SendRegionDigest(time_point now) {
  const auto digest_message =
      region_sender_.Tick(table_, regions_, now, WallMs(now));
  if (digest_message) {
    Send(digest_message->address, message_kind::kRegionDigest,
         records_message{{}, digest_message->regions});
  }
}

gossip_block membership_core::BuildHeader(const std::string& receiver) {
  gossip_block block;
  const auto& self = table_.self();
  block.refutation = self.refutation;
  block.state = self.state;
  block.config_digest = config_digest_;
  block.self = self.digest;
  block.table_checksum = table_.checksum();
  block.regions_known = static_cast<std::uint8_t>(
      std::min<std::size_t>(regions_.digests().size(), UINT8_MAX));
  // A receiver that is suspected or declared dead must learn of that, however
  // old the update is, or it could never refute it.
  const auto* known = table_.Find(receiver);
  if (known != nullptr && known->state >= member_state::kSuspect)
    block.updates.push_back(UpdateOf(*known));
  return block;
}

gossip_block membership_core::BuildGossip(const std::string& receiver) {
  auto block = BuildHeader(receiver);
  queue_.Fill(block, table_, regions_, options_.gossip_budget_bytes);
  return block;
}

void membership_core::SendProbe(const std::string& address,
                                std::uint64_t id,
                                gossip_block gossip) {
  Send(address, message_kind::kProbe, probe_message{id, std::move(gossip)});
}

void membership_core::SendRecords(const std::string& address,
                                  const std::vector<const member*>& members) {
  records_message message;
  std::size_t bytes = 0;
  for (const auto* known : members) {
    const auto size = WireSize(*known);
    if (bytes + size > kMaxRecordBytesPerMessage) {
      Send(address, message_kind::kGossip, message);
      message.members.clear();
      bytes = 0;
    }
    bytes += size;
    message.members.push_back(*known);
  }
  if (!message.members.empty())
    Send(address, message_kind::kGossip, message);
}

void membership_core::SendRegions(const std::string& address, time_point now) {
  records_message message;
  message.regions.push_back(region_sender_.BuildDigest(table_, WallMs(now)));
  for (const auto& [region, digest] : regions_.digests()) {
    if (message.regions.size() >= kMaxRegionsPerMessage) {
      Send(address, message_kind::kRegionDigest, message);
      message.regions.clear();
    }
    message.regions.push_back(digest);
  }
  Send(address, message_kind::kRegionDigest, message);
}

std::vector<outgoing_message> membership_core::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

std::vector<membership_event> membership_core::TakeEvents() {
  return std::exchange(events_, {});
}

std::int64_t membership_core::WallMs(time_point now) const {
  const auto wall = started_wall_time_ + (now - started_at_);
  return std::chrono::duration_cast<milliseconds>(wall.time_since_epoch())
      .count();
}

bool membership_core::IsDelegate() const {
  return region_sender_.IsDelegate(table_);
}

}  // namespace samphire
