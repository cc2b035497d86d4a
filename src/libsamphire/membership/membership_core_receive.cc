#include <algorithm>
#include <optional>
#include <utility>

#include "membership/membership_core.h"

// What membership does with the messages that it receives.

namespace samphire {

namespace {

// A few comparisons may differ while news is on its way.
constexpr int kMismatchesToSync = 3;
constexpr std::size_t kContradictions = 8;
constexpr std::int64_t kStaleRegionMs = 60'000;

}  // namespace

void membership_core::Receive(message_kind kind,
                              const peer_message& message,
                              time_point now) {
  if (message.sender == table_.self().name) {
    if (message.incarnation > table_.self().incarnation)
      events_.emplace_back(replaced{});
    return;
  }
  switch (kind) {
    case message_kind::kProbe:
      return HandleProbe(message, now);
    case message_kind::kProbeAck:
      return HandleAck(message, now);
    case message_kind::kProbeRequest:
      return HandleProbeRequest(message, now);
    case message_kind::kJoin:
      return HandleJoin(message, now);
    case message_kind::kSyncAsk:
      return HandleSyncAsk(message);
    case message_kind::kGossip:
    case message_kind::kRegionDigest:
      return HandleRecords(message, now);
    default:
      return;
  }
}

void membership_core::HandleProbe(const peer_message& message, time_point now) {
  const auto probe = DecodeBinary<probe_message>(message.payload);
  if (!probe) {
    ++malformed_;
    return;
  }
  Merge(message, probe->gossip, now);
  Send(message.from, message_kind::kProbeAck,
       probe_message{probe->id, Compose(message.sender)});
}

void membership_core::HandleAck(const peer_message& message, time_point now) {
  const auto ack = DecodeBinary<probe_message>(message.payload);
  if (!ack) {
    ++malformed_;
    return;
  }
  Merge(message, ack->gossip, now);
  const auto relayed = prober_.OnAck(ack->id);
  if (relayed) {
    Send(relayed->address, message_kind::kProbeAck,
         probe_message{relayed->id, Compose({})});
  }
}

void membership_core::HandleProbeRequest(const peer_message& message,
                                         time_point now) {
  const auto request = DecodeBinary<probe_request_message>(message.payload);
  if (!request) {
    ++malformed_;
    return;
  }
  Merge(message, request->gossip, now);
  // Only members are probed for others, so that a request can't aim probes
  // at a stranger.
  for (const auto& [name, known] : table_.others()) {
    if (known.peer_address == request->address) {
      SendProbe(known.peer_address, name,
                prober_.AddRelay({message.from, request->id}, now));
      return;
    }
  }
}

void membership_core::HandleJoin(const peer_message& message, time_point now) {
  const auto join = DecodeBinary<join_message>(message.payload);
  if (!join || join->self.name != message.sender ||
      join->self.incarnation != message.incarnation) {
    ++malformed_;
    return;
  }
  const auto& joiner = join->self;
  if (joiner.region == table_.self().region) {
    SendRegions(message.from, now);
    Note(joiner.name, table_.MergeRecord(joiner, now), true);
    std::vector<const member*> all{&table_.self()};
    for (const auto& [name, known] : table_.others())
      all.push_back(&known);
    SendRecords(message.from, all);
    return;
  }
  // Every delegate of the fleet may knock at the same few seeds, so what one
  // knock is answered with is bounded: this region, and the joiner's own,
  // where it will be told the rest.
  records_message answer{{}, {speaker_.Describe(table_, WallMs(now))}};
  const auto* known = regions_.Find(joiner.region);
  if (known != nullptr)
    answer.regions.push_back(*known);
  Send(message.from, message_kind::kRegionDigest, answer);
  // The first to be heard of a region, or of one long silent: better than
  // nothing until its delegates speak.
  if (known != nullptr && WallMs(now) - known->as_of < kStaleRegionMs)
    return;
  region_digest first;
  first.region = joiner.region;
  first.as_of = WallMs(now);
  first.entries = 1;
  first.contacts.push_back(
      {joiner.name, joiner.caller_address, joiner.peer_address});
  MergeRegions({first}, now);
}

void membership_core::HandleSyncAsk(const peer_message& message) {
  const auto ask = DecodeBinary<sync_ask_message>(message.payload);
  if (!ask) {
    ++malformed_;
    return;
  }
  const auto known_to_asker = [&ask](const member& known) {
    const auto stamp = membership_table::StampOf(known);
    if (stamp.name_id < ask->first || stamp.name_id > ask->last)
      return true;
    return std::ranges::any_of(ask->stamps, [&stamp](const auto& theirs) {
      return theirs.name_id == stamp.name_id &&
             theirs.checksum == stamp.checksum;
    });
  };
  std::vector<const member*> missing;
  if (!known_to_asker(table_.self()))
    missing.push_back(&table_.self());
  for (const auto& [name, known] : table_.others()) {
    if (!known_to_asker(known))
      missing.push_back(&known);
  }
  SendRecords(message.from, missing);
}

void membership_core::HandleRecords(const peer_message& message,
                                    time_point now) {
  const auto records = DecodeBinary<records_message>(message.payload);
  if (!records) {
    ++malformed_;
    return;
  }
  for (const auto& seen : records->members) {
    const auto* known = table_.Find(seen.name);
    const bool in_full =
        known == nullptr || known->incarnation < seen.incarnation;
    Note(seen.name, table_.MergeRecord(seen, now), in_full);
  }
  MergeRegions(records->regions, now);
}

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
    // What others tell of this region: its members may not know each other.
    if (digest.region == table_.self().region) {
      for (const auto& contact : digest.contacts)
        seeds_.Add(contact.peer_address);
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
