#include <algorithm>

#include "membership/membership_core.h"

// Merging of received gossip, and requests for updates that were missed.

namespace samphire {

namespace {

// Successive differing checksums that lead to a request. A few may differ while
// an update is still spreading.
constexpr int kMismatchesToSync = 3;
// Minimum time between requests for all regions. The response takes several
// datagrams, so this is far longer than the interval of probes.
constexpr milliseconds kRegionRequestInterval{20'000};
// Interval of requests for the stalest regions. With four regions every five
// seconds, twenty-four take half a minute, or a whole one if every other peer
// asked knows nothing newer.
constexpr milliseconds kStaleRequestInterval{5'000};
// Age from which the digest of a region is requested again.
constexpr milliseconds kStaleRegionAge{45'000};

}  // namespace

void membership_core::Merge(const peer_message& from,
                            const gossip_block& block,
                            time_point now) {
  using merge_result = membership_table::merge_result;
  for (const auto& record : block.records) {
    const auto* known = table_.Find(record.name);
    const bool full_record =
        known == nullptr || known->incarnation < record.incarnation;
    ApplyMergeResult(record.name, table_.MergeRecord(record, now), full_record);
  }
  const member_update sender{from.sender, from.incarnation, block.refutation,
                             block.state};
  const auto merged_sender = table_.MergeUpdate(sender, now);
  bool unknown_member = merged_sender == merge_result::kUnknownMember;
  ApplyMergeResult(sender.name, merged_sender, false);
  for (const auto& update : block.updates) {
    const auto merged = table_.MergeUpdate(update, now);
    unknown_member = unknown_member || merged == merge_result::kUnknownMember;
    ApplyMergeResult(update.name, merged, false);
  }
  table_.MergeDigest(block.self, now);
  for (const auto& digest : block.digests)
    table_.MergeDigest(digest, now);
  MergeRegions(block.regions, now);
  RequestRegions(from, block, now);
  if (unknown_member)
    RequestSync(from.from, now);
  else
    CompareTables(from, block, now);
  if (block.self.config_version > table_.self().digest.config_version) {
    events_.emplace_back(peer_config_seen{block.self.config_version,
                                          block.config_digest, from.from});
  }
}

void membership_core::MergeRegions(const std::vector<region_digest>& seen,
                                   time_point now) {
  for (const auto& digest : seen) {
    if (digest.region == table_.self().region) {
      AddOwnRegionContacts(digest);
      continue;
    }
    const auto merged = regions_.Merge(digest, WallMs(now));
    if (merged == region_directory::merge_result::kNone)
      continue;
    queue_.AddRegion(digest.region,
                     merged == region_directory::merge_result::kChanged);
    if (digest.config_version > table_.self().digest.config_version &&
        !digest.contacts.empty()) {
      events_.emplace_back(peer_config_seen{
          digest.config_version, 0, digest.contacts.front().peer_address});
    }
  }
}

void membership_core::ApplyMergeResult(const std::string& name,
                                       membership_table::merge_result result,
                                       bool full_record) {
  using enum membership_table::merge_result;
  if (result == kProcessReplaced) {
    events_.emplace_back(process_replaced{});
    return;
  }
  if (result != kChanged && result != kSuspicionRefuted)
    return;
  queue_.AddMember(name, full_record);
  // The suspicion has been announced, and callers are sent elsewhere until the
  // refutation arrives.
  if (result == kSuspicionRefuted)
    announcer_.Add(name, last_tick_);
  else
    events_.emplace_back(member_changed{*table_.Find(name)});
}

// Members of this region may not know each other yet, so contacts that other
// regions report for it become seeds. An entry that knows no other member sends
// a join at once to the contacts named.
void membership_core::AddOwnRegionContacts(const region_digest& digest) {
  for (const auto& contact : digest.contacts) {
    if (contact.name == table_.self().name)
      continue;
    seeds_.Add(contact.peer_address);
    if (table_.ProbedMembers().empty())
      Send(contact.peer_address, message_kind::kJoin,
           join_message{table_.self()});
  }
}

// Updates reach nearly all members, but a member may miss the few messages that
// carried one. Comparing a checksum in every message detects that at a cost of
// eight bytes.
void membership_core::CompareTables(const peer_message& from,
                                    const gossip_block& block,
                                    time_point now) {
  if (block.table_checksum == table_.checksum()) {
    checksum_mismatches_ = 0;
    return;
  }
  if (++checksum_mismatches_ >= kMismatchesToSync)
    RequestSync(from.from, now);
}

// The digest of a region is sent a few times only. An entry that missed it
// could not forward requests to that region until its contacts change.
void membership_core::RequestRegions(const peer_message& from,
                                     const gossip_block& block,
                                     time_point now) {
  if (block.regions_known <= regions_.digests().size() ||
      now < next_region_request_) {
    return;
  }
  next_region_request_ = now + kRegionRequestInterval;
  sync_request_message request;
  request.first_name_id = 1;
  request.last_name_id = 0;
  request.want_regions = 1;
  Send(from.from, message_kind::kSyncRequest, request);
}

// Gossip leaves a few members behind by chance, with contacts that may no
// longer exist. Each entry asks a random member for newer digests of the
// regions for which its own are the oldest.
void membership_core::RequestStaleRegions(time_point now) {
  if (now < next_stale_request_)
    return;
  next_stale_request_ = now + kStaleRequestInterval;
  const auto stale_regions =
      regions_.Stalest(kMaxRegionVersions, kStaleRegionAge, WallMs(now));
  const auto names = table_.ProbedMembers();
  if (stale_regions.empty() || names.empty())
    return;
  sync_request_message request;
  request.first_name_id = 1;
  request.last_name_id = 0;
  for (const auto& region : stale_regions)
    request.stale_regions.push_back({region, regions_.Find(region)->as_of});
  std::uniform_int_distribution<std::size_t> pick(0, names.size() - 1);
  Send(table_.Find(names[pick(random_)])->peer_address,
       message_kind::kSyncRequest, request);
}

void membership_core::SendNewerRegions(
    const std::string& address,
    const std::vector<region_version>& stale_regions) {
  records_message response;
  for (const auto& version : stale_regions) {
    const auto* known = regions_.Find(version.region);
    if (known != nullptr && known->as_of > version.as_of)
      response.regions.push_back(*known);
  }
  if (!response.regions.empty())
    Send(address, message_kind::kRegionDigest, response);
}

void membership_core::RequestSync(const std::string& address, time_point now) {
  if (now < next_sync_)
    return;
  next_sync_ = now + options_.sync_interval;
  checksum_mismatches_ = 0;
  sync_request_message request;
  request.checksums = table_.MemberChecksums();
  if (request.checksums.size() > kMaxMemberChecksums) {
    // Covers only a part of the names, a different one each time.
    std::uniform_int_distribution<std::size_t> pick(
        0, request.checksums.size() - kMaxMemberChecksums);
    const auto begin =
        request.checksums.begin() + static_cast<std::ptrdiff_t>(pick(random_));
    request.checksums = {begin, begin + kMaxMemberChecksums};
    request.first_name_id = request.checksums.front().name_id;
    request.last_name_id = request.checksums.back().name_id;
  }
  Send(address, message_kind::kSyncRequest, request);
}

}  // namespace samphire
