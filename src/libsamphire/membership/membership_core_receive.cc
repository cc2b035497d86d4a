#include <algorithm>
#include <utility>

#include "membership/membership_core.h"
#include "membership/ping_message.h"

// Handling of received membership messages.

namespace samphire {

namespace {

// Age from which the digest of a region is replaced by one that names only the
// joining entry.
constexpr std::int64_t kStaleContactsMs = 60'000;

}  // namespace

void membership_core::Receive(message_kind kind,
                              const peer_message& message,
                              time_point now) {
  if (message.sender == table_.self().name) {
    if (message.incarnation > table_.self().incarnation)
      events_.emplace_back(process_replaced{});
    return;
  }
  OnHeard(message, now);
  switch (kind) {
    case message_kind::kProbe:
      return HandleProbe(message, now);
    case message_kind::kProbeAck:
      return HandleAck(message, now);
    case message_kind::kProbeRequest:
      return HandleProbeRequest(message, now);
    case message_kind::kJoin:
      return HandleJoin(message, now);
    case message_kind::kSyncRequest:
      return HandleSyncRequest(message, now);
    case message_kind::kGossip:
    case message_kind::kRegionDigest:
      return HandleRecords(message, now);
    case message_kind::kPing:
      return HandlePing(message);
    case message_kind::kPingAck:
      return HandlePingAck(message);
    default:
      return;
  }
}

void membership_core::OnHeard(const peer_message& message, time_point now) {
  table_.Heard(message.sender, message.incarnation, now);
  const auto* known = table_.Find(message.sender);
  if (known != nullptr && known->incarnation == message.incarnation)
    prober_.OnHeard(message.sender);
}

void membership_core::HandleProbe(const peer_message& message, time_point now) {
  const auto probe = DecodeBinary<probe_message>(message.payload);
  if (!probe) {
    ++malformed_;
    return;
  }
  Merge(message, probe->gossip, now);
  Send(message.from, message_kind::kProbeAck,
       probe_message{probe->id, BuildGossip(message.sender)});
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
         probe_message{relayed->id, BuildGossip({})});
  }
}

void membership_core::HandlePing(const peer_message& message) {
  const auto ping = DecodeBinary<ping_message>(message.payload);
  if (!ping) {
    ++malformed_;
    return;
  }
  Send(message.from, message_kind::kPingAck, ping_message{ping->id});
  TellIfDoubted(message);
}

void membership_core::HandlePingAck(const peer_message& message) {
  const auto ack = DecodeBinary<ping_message>(message.payload);
  if (!ack) {
    ++malformed_;
    return;
  }
  prober_.OnAck(ack->id);
  TellIfDoubted(message);
}

// Pings carry no gossip, so their sender would not learn of the suspicion that
// it has to refute.
void membership_core::TellIfDoubted(const peer_message& message) {
  const auto* known = table_.Find(message.sender);
  if (known == nullptr || known->incarnation != message.incarnation ||
      known->state < member_state::kSuspect) {
    return;
  }
  SendProbe(known->peer_address, kNoProbe, BuildHeader(message.sender));
}

void membership_core::HandleProbeRequest(const peer_message& message,
                                         time_point now) {
  const auto request = DecodeBinary<probe_request_message>(message.payload);
  if (!request) {
    ++malformed_;
    return;
  }
  Merge(message, request->gossip, now);
  // Only known members are probed for others, so that a request cannot direct
  // probes at arbitrary addresses.
  for (const auto& [name, known] : table_.other_members()) {
    if (known.peer_address == request->address) {
      SendProbe(known.peer_address,
                prober_.AddRelay({message.from, request->id}, now),
                BuildHeader(name));
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
    ApplyMergeResult(joiner.name, table_.MergeRecord(joiner, now), true);
    std::vector<const member*> all{&table_.self()};
    for (const auto& [name, known] : table_.other_members())
      all.push_back(&known);
    SendRecords(message.from, all);
    return;
  }
  // Every delegate of the fleet may send joins to the same few seeds, so the
  // response to one join is bounded: the digest of this region and that of the
  // region of the joining entry, whose members will tell it the rest.
  records_message response{{},
                           {region_sender_.BuildDigest(table_, WallMs(now))}};
  const auto* known = regions_.Find(joiner.region);
  if (known != nullptr)
    response.regions.push_back(*known);
  Send(message.from, message_kind::kRegionDigest, response);
  // The joining entry is the first known of its region, or the digest of that
  // region is stale. It serves as the only contact until the delegates of its
  // region send a digest.
  if (known != nullptr && WallMs(now) - known->as_of < kStaleContactsMs)
    return;
  region_digest first;
  first.region = joiner.region;
  first.as_of = WallMs(now);
  first.entries = 1;
  first.contacts.push_back(
      {joiner.name, joiner.caller_address, joiner.peer_address});
  MergeRegions({first}, now);
}

void membership_core::HandleSyncRequest(const peer_message& message,
                                        time_point now) {
  const auto request = DecodeBinary<sync_request_message>(message.payload);
  if (!request) {
    ++malformed_;
    return;
  }
  if (request->want_regions != 0)
    SendRegions(message.from, now);
  SendNewerRegions(message.from, request->stale_regions);
  const auto known_to_requester = [&request](const member& known) {
    const auto own = membership_table::ChecksumOf(known);
    if (own.name_id < request->first_name_id ||
        own.name_id > request->last_name_id)
      return true;
    const bool is_listed =
        std::ranges::any_of(request->checksums, [&own](const auto& theirs) {
          return theirs.name_id == own.name_id &&
                 theirs.checksum == own.checksum;
        });
    // The requester lists the members that it does not hold for dead.
    return known.state == member_state::kDead ? !is_listed : is_listed;
  };
  std::vector<const member*> missing;
  if (!known_to_requester(table_.self()))
    missing.push_back(&table_.self());
  for (const auto& [name, known] : table_.other_members()) {
    if (!known_to_requester(known))
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
    const bool full_record =
        known == nullptr || known->incarnation < seen.incarnation;
    ApplyMergeResult(seen.name, table_.MergeRecord(seen, now), full_record);
  }
  MergeRegions(records->regions, now);
}

}  // namespace samphire
