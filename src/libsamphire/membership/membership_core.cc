#include "membership/membership_core.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// Ticks come every 100 ms. A gap of this length means that the process, not
// its peers, stood still.
constexpr milliseconds kPause{700};
// Knocking at seeds while all is well only finds parts of the fleet that have
// never heard of each other.
constexpr int kQuietKnocks = 60;
constexpr std::size_t kJoinSeeds = 3;
constexpr std::uint64_t kMaxFirstSeed = 1000;
// An entry alone serves nobody well: it tries the next seeds soon.
constexpr int kAloneKnocks = 5;
// So does one that has just started. Entries of a region that start together
// first meet whoever else was quick; content with that, they would stay in
// small groups until regions happen to tell each other of them, which shows as
// several entries that each take a share meant for one.
constexpr milliseconds kJoinTime{5000};
constexpr milliseconds kDarkRegion{120'000};
constexpr std::size_t kRecordBytes = 1000;
constexpr std::size_t kRegionsPerMessage = 4;

}  // namespace

membership_core::membership_core(member self,
                                 const membership_options& options,
                                 time_point now,
                                 wall_time wall,
                                 std::uint64_t seed)
    : options_(options),
      started_at_(now),
      started_wall_(wall),
      random_(seed),
      table_(std::move(self), options),
      regions_(table_.self().region),
      prober_(options, now, random_),
      speaker_(options, now, random_),
      seeds_(random_() % kMaxFirstSeed),
      last_tick_(now),
      next_knock_(now),
      next_sync_(now),
      next_region_ask_(now),
      next_refresh_(now) {}

void membership_core::AddSeeds(const std::vector<std::string>& addresses) {
  for (const auto& address : addresses)
    seeds_.Add(address);
}

void membership_core::SetSelf(member_digest digest,
                              std::uint64_t config_digest) {
  table_.SetDigest(std::move(digest));
  config_digest_ = config_digest;
}

// Told to every member at once instead of by rumour: callers are sent to this
// entry until the last member knows, and the stop waits for that. It is one
// message to each member, once in the life of a process.
void membership_core::AnnounceLeaving() {
  table_.SetState(member_state::kLeaving);
  queue_.AddMember(table_.self().name, false);
  for (const auto& name : table_.Probed())
    SendRecords(table_.Find(name)->peer_address, {&table_.self()});
}

void membership_core::Tick(time_point now) {
  const auto gap = now - last_tick_;
  last_tick_ = now;
  // A paused process wakes to find all its probes unanswered. It would declare
  // its whole region suspect, and every member would have to contradict it.
  if (gap > kPause) {
    prober_.Reset(now);
    table_.Postpone(gap);
  }
  RunProbes(now);
  for (const auto& name : table_.Expire(now))
    Note(name, membership_table::effect::kChanged, false);
  Knock(now);
  SpeakToRegions(now);
  RefreshRegions(now);
}

void membership_core::RunProbes(time_point now) {
  for (const auto& order : prober_.Tick(table_, now)) {
    const auto* subject = table_.Find(order.subject);
    if (subject == nullptr)
      continue;
    switch (order.what) {
      case prober::action::kProbe:
        SendProbe(subject->peer_address, subject->name, order.id);
        break;
      case prober::action::kAskHelper:
        Send(table_.Find(order.helper)->peer_address,
             message_kind::kProbeRequest,
             probe_request_message{order.id, subject->peer_address,
                                   Compose(order.helper)});
        break;
      case prober::action::kSuspect:
        Note(order.subject, table_.Suspect(order.subject, now), false);
        break;
    }
  }
}

// After a cut each side holds the other for dead and probes it no more. Some
// members go on knocking at the dead and at the seeds, or the sides would
// never find each other again.
void membership_core::Knock(time_point now) {
  if (now < next_knock_)
    return;
  const bool joining = table_.Probed().empty() || now - started_at_ < kJoinTime;
  const auto fresh = regions_.FreshWithin(kDarkRegion, WallMs(now));
  const bool trouble = joining || !table_.Dead().empty() ||
                       fresh.size() < regions_.digests().size();
  next_knock_ = now + options_.knock_interval * (trouble ? 1 : kQuietKnocks);
  if (joining)
    next_knock_ = now + options_.knock_interval / kAloneKnocks;
  if (!joining && !IsDelegate())
    return;
  for (const auto& address : seeds_.Next(table_, joining ? kJoinSeeds : 1))
    Send(address, message_kind::kJoin, join_message{table_.self()});
}

void membership_core::SpeakToRegions(time_point now) {
  const auto letter = speaker_.Tick(table_, regions_, now, WallMs(now));
  if (letter) {
    Send(letter->address, message_kind::kRegionDigest,
         records_message{{}, letter->regions});
  }
}

gossip_block membership_core::Compose(const std::string& receiver) {
  gossip_block block;
  const auto& self = table_.self();
  block.refutation = self.refutation;
  block.state = self.state;
  block.config_digest = config_digest_;
  block.self = self.digest;
  block.table_checksum = table_.checksum();
  block.regions_known = static_cast<std::uint8_t>(
      std::min<std::size_t>(regions_.digests().size(), UINT8_MAX));
  queue_.Fill(block, table_, regions_, options_.gossip_budget);
  // A member that others hold for suspect or dead must hear of it, however
  // old the news, or it could never contradict.
  const auto* known = table_.Find(receiver);
  if (known != nullptr && known->state >= member_state::kSuspect)
    block.rumours.push_back(RumourOf(*known));
  return block;
}

void membership_core::SendProbe(const std::string& address,
                                const std::string& name,
                                std::uint64_t id) {
  Send(address, message_kind::kProbe, probe_message{id, Compose(name)});
}

void membership_core::SendRecords(const std::string& address,
                                  const std::vector<const member*>& members) {
  records_message message;
  std::size_t bytes = 0;
  for (const auto* known : members) {
    const auto size = WireSize(*known);
    if (bytes + size > kRecordBytes) {
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
  message.regions.push_back(speaker_.Describe(table_, WallMs(now)));
  for (const auto& [region, digest] : regions_.digests()) {
    if (message.regions.size() >= kRegionsPerMessage) {
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
  const auto wall = started_wall_ + (now - started_at_);
  return std::chrono::duration_cast<milliseconds>(wall.time_since_epoch())
      .count();
}

bool membership_core::IsDelegate() const {
  return speaker_.IsDelegate(table_);
}

}  // namespace samphire
