#include <algorithm>

#include "membership/membership_core.h"

// How membership takes in news, and asks for what it missed.

namespace samphire {

namespace {

// A few comparisons may differ while news is on its way.
constexpr int kMismatchesToSync = 3;
// The answer is several datagrams, so this is far longer than a probe's.
constexpr milliseconds kRegionAskInterval{20'000};
// Four regions each five seconds: twenty-four take half a minute, or a whole
// one when every other asked knows nothing newer.
constexpr milliseconds kRefreshInterval{5'000};
constexpr milliseconds kStaleRegion{45'000};
constexpr std::size_t kContradictions = 8;

}  // namespace

void membership_core::Merge(const peer_message& from,
                            const gossip_block& block,
                            time_point now) {
  using effect = membership_table::effect;
  for (const auto& record : block.records) {
    const auto* known = table_.Find(record.name);
    const bool in_full =
        known == nullptr || known->incarnation < record.incarnation;
    Note(record.name, table_.MergeRecord(record, now), in_full);
  }
  const member_rumour sender{from.sender, from.incarnation, block.refutation,
                             block.state};
  const auto heard = table_.MergeRumour(sender, now);
  bool unknown = heard == effect::kUnknown;
  Note(sender.name, heard, false);
  for (const auto& rumour : block.rumours) {
    const auto merged = table_.MergeRumour(rumour, now);
    unknown = unknown || merged == effect::kUnknown;
    Note(rumour.name, merged, false);
  }
  table_.MergeDigest(block.self);
  for (const auto& digest : block.digests)
    table_.MergeDigest(digest);
  MergeRegions(block.regions, now);
  AskForRegions(from, block, now);
  if (unknown)
    AskForSync(from.from, now);
  else
    CompareTables(from, block, now);
  if (block.self.config_version > table_.self().digest.config_version) {
    events_.emplace_back(config_heard{block.self.config_version,
                                      block.config_digest, from.from});
  }
}

void membership_core::MergeRegions(const std::vector<region_digest>& seen,
                                   time_point now) {
  for (const auto& digest : seen) {
    if (digest.region == table_.self().region) {
      MeetOwnRegion(digest);
      continue;
    }
    const auto merged = regions_.Merge(digest, WallMs(now));
    if (merged == region_directory::effect::kNone)
      continue;
    queue_.AddRegion(digest.region,
                     merged == region_directory::effect::kChanged);
    if (digest.config_version > table_.self().digest.config_version &&
        !digest.contacts.empty()) {
      events_.emplace_back(config_heard{digest.config_version, 0,
                                        digest.contacts.front().peer_address});
    }
  }
}

void membership_core::Note(const std::string& name,
                           membership_table::effect effect,
                           bool in_full) {
  using enum membership_table::effect;
  if (effect == kReplaced) {
    events_.emplace_back(replaced{});
    return;
  }
  if (effect != kChanged && effect != kRefuted)
    return;
  queue_.AddMember(name, in_full);
  if (effect == kRefuted)
    Contradict();
  else
    events_.emplace_back(member_changed{*table_.Find(name)});
}

// The suspicion has a start on its contradiction, and whoever hears too late
// has sent callers away by then. Some members are told at once, so that the
// contradiction starts its round from several places.
void membership_core::Contradict() {
  auto names = table_.Probed();
  std::ranges::shuffle(names, random_);
  names.resize(std::min(names.size(), kContradictions));
  for (const auto& name : names)
    SendRecords(table_.Find(name)->peer_address, {&table_.self()});
}

// What others tell of this region: its members may not know each other. One
// that knows nobody yet joins at once, by the first that is named.
void membership_core::MeetOwnRegion(const region_digest& told) {
  for (const auto& contact : told.contacts) {
    if (contact.name == table_.self().name)
      continue;
    seeds_.Add(contact.peer_address);
    if (table_.Probed().empty())
      Send(contact.peer_address, message_kind::kJoin,
           join_message{table_.self()});
  }
}

// Rumours reach nearly all, and a member may miss the few messages that
// carried one. Comparing a checksum in every message finds what was missed
// for eight bytes.
void membership_core::CompareTables(const peer_message& from,
                                    const gossip_block& block,
                                    time_point now) {
  if (block.table_checksum == table_.checksum()) {
    mismatches_ = 0;
    return;
  }
  if (++mismatches_ >= kMismatchesToSync)
    AskForSync(from.from, now);
}

// A region is told a few times only, and whoever missed it would not know
// where to pass requests until its contacts change.
void membership_core::AskForRegions(const peer_message& from,
                                    const gossip_block& block,
                                    time_point now) {
  if (block.regions_known <= regions_.digests().size() ||
      now < next_region_ask_) {
    return;
  }
  next_region_ask_ = now + kRegionAskInterval;
  sync_ask_message ask;
  ask.first = 1;
  ask.last = 0;
  ask.want_regions = 1;
  Send(from.from, message_kind::kSyncAsk, ask);
}

// What spreads by chance leaves a few behind, with contacts that may be gone.
// Each entry asks some other one for what it has heard least of lately.
void membership_core::RefreshRegions(time_point now) {
  if (now < next_refresh_)
    return;
  next_refresh_ = now + kRefreshInterval;
  const auto stale =
      regions_.Stalest(kMaxRegionStamps, kStaleRegion, WallMs(now));
  const auto names = table_.Probed();
  if (stale.empty() || names.empty())
    return;
  sync_ask_message ask;
  ask.first = 1;
  ask.last = 0;
  for (const auto& region : stale)
    ask.stale.push_back({region, regions_.Find(region)->as_of});
  std::uniform_int_distribution<std::size_t> pick(0, names.size() - 1);
  Send(table_.Find(names[pick(random_)])->peer_address, message_kind::kSyncAsk,
       ask);
}

void membership_core::SendNewer(const std::string& address,
                                const std::vector<region_stamp>& stale) {
  records_message answer;
  for (const auto& stamp : stale) {
    const auto* known = regions_.Find(stamp.region);
    if (known != nullptr && known->as_of > stamp.as_of)
      answer.regions.push_back(*known);
  }
  if (!answer.regions.empty())
    Send(address, message_kind::kRegionDigest, answer);
}

void membership_core::AskForSync(const std::string& address, time_point now) {
  if (now < next_sync_)
    return;
  next_sync_ = now + options_.sync_interval;
  mismatches_ = 0;
  sync_ask_message ask;
  ask.stamps = table_.Stamps();
  if (ask.stamps.size() > kMaxStamps) {
    // A part of the names, another each time.
    std::uniform_int_distribution<std::size_t> pick(
        0, ask.stamps.size() - kMaxStamps);
    const auto begin =
        ask.stamps.begin() + static_cast<std::ptrdiff_t>(pick(random_));
    ask.stamps = {begin, begin + kMaxStamps};
    ask.first = ask.stamps.front().name_id;
    ask.last = ask.stamps.back().name_id;
  }
  Send(address, message_kind::kSyncAsk, ask);
}

}  // namespace samphire
