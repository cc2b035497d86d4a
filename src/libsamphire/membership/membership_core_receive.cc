#include <algorithm>
#include <utility>

#include "membership/membership_core.h"

// What membership does with the messages that it receives.

namespace samphire {

namespace {

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
      return HandleSyncAsk(message, now);
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

void membership_core::HandleSyncAsk(const peer_message& message,
                                    time_point now) {
  const auto ask = DecodeBinary<sync_ask_message>(message.payload);
  if (!ask) {
    ++malformed_;
    return;
  }
  if (ask->want_regions != 0)
    SendRegions(message.from, now);
  SendNewer(message.from, ask->stale);
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

}  // namespace samphire
