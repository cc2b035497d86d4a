#include "membership/membership_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace samphire {

namespace {

bool IsUp(const member& known) {
  return known.state != member_state::kDead;
}

// Whether a member is suspected does not count: some members get its acks
// and others do not, so their checksums would never agree.
std::uint64_t Fingerprint(const member& known) {
  const auto seed =
      known.incarnation * 2 + (known.state == member_state::kLeaving ? 1 : 0);
  return XXH3_64bits_withSeed(known.name.data(), known.name.size(), seed);
}

}  // namespace

membership_table::membership_table(member self,
                                   const membership_options& options)
    : self_(std::move(self)), options_(options) {
  self_.digest.process_id = ProcessId(self_.name, self_.incarnation);
}

membership_table::merge_result membership_table::MergeRecord(const member& seen,
                                                             time_point now) {
  if (seen.name == self_.name)
    return MergeSelf(seen);
  // A member of another region would be probed across regions, and updates on
  // it would fill the messages of this region.
  if (seen.region != self_.region || seen.name.empty())
    return merge_result::kNone;
  const auto found = other_members_.find(seen.name);
  if (found == other_members_.end() ||
      found->second.incarnation < seen.incarnation) {
    if (found != other_members_.end())
      name_by_process_id_.erase(
          ProcessId(found->second.name, found->second.incarnation));
    const bool is_new_and_dead =
        found == other_members_.end() && seen.state == member_state::kDead;
    name_by_process_id_[ProcessId(seen.name, seen.incarnation)] = seen.name;
    auto& known = other_members_[seen.name] = seen;
    known.digest.process_id = ProcessId(seen.name, seen.incarnation);
    known.heard_at = now;
    UpdateTimer(seen, now);
    // The death of a process that was never known here is kept, so that a late
    // report does not make it a member, but is not worth forwarding.
    return is_new_and_dead ? merge_result::kNone : merge_result::kChanged;
  }
  MergeDigest(seen.digest, now);
  return ApplyIfNewer(found->second, UpdateOf(seen), now);
}

membership_table::merge_result membership_table::MergeUpdate(
    const member_update& seen,
    time_point now) {
  if (seen.name == self_.name)
    return MergeSelf(seen);
  const auto found = other_members_.find(seen.name);
  if (found == other_members_.end() ||
      found->second.incarnation < seen.incarnation) {
    return seen.state == member_state::kDead ? merge_result::kNone
                                             : merge_result::kUnknownMember;
  }
  return ApplyIfNewer(found->second, seen, now);
}

membership_table::merge_result membership_table::ApplyIfNewer(
    member& known,
    const member_update& seen,
    time_point now) {
  if (seen.rank() <= known.rank())
    return merge_result::kNone;
  // Only the process itself refutes suspicions and announces that it leaves.
  if (seen.refutation > known.refutation ||
      seen.state == member_state::kLeaving) {
    known.heard_at = now;
  }
  known.refutation = seen.refutation;
  known.state = seen.state;
  UpdateTimer(known, now);
  return merge_result::kChanged;
}

// Refutes a false suspicion, which arises when messages are lost or a link is
// cut in one direction. The members would declare this process dead and stop
// sending it work although it serves. Only the process itself can raise its
// refutation count, so the refutation prevails over the suspicion wherever both
// arrive.
template <typename T>
membership_table::merge_result membership_table::MergeSelf(const T& seen) {
  if (seen.incarnation > self_.incarnation)
    return merge_result::kProcessReplaced;
  if (seen.incarnation < self_.incarnation || seen.rank() <= self_.rank())
    return merge_result::kNone;
  self_.refutation = seen.refutation + 1;
  return merge_result::kSuspicionRefuted;
}

void membership_table::MergeDigest(const member_digest& seen, time_point now) {
  const auto process = name_by_process_id_.find(seen.process_id);
  if (process == name_by_process_id_.end())
    return;
  auto& known = other_members_.find(process->second)->second;
  if (seen.sequence <= known.digest.sequence)
    return;
  known.digest = seen;
  known.heard_at = now;
}

void membership_table::Heard(std::string_view name,
                             std::uint64_t incarnation,
                             time_point now) {
  const auto found = other_members_.find(name);
  if (found != other_members_.end() &&
      found->second.incarnation == incarnation) {
    found->second.heard_at = now;
    if (found->second.state == member_state::kLeaving)
      timer_due_.erase(found->first);
  }
}

membership_table::merge_result membership_table::MarkSuspected(
    const std::string& name,
    time_point now) {
  const auto found = other_members_.find(name);
  if (found == other_members_.end())
    return merge_result::kNone;
  if (found->second.state == member_state::kLeaving) {
    timer_due_.try_emplace(name, now + SuspicionTime());
    return merge_result::kNone;
  }
  auto update = UpdateOf(found->second);
  update.state = member_state::kSuspect;
  return ApplyIfNewer(found->second, update, now);
}

void membership_table::UpdateTimer(const member& known, time_point now) {
  if (known.state == member_state::kSuspect)
    timer_due_[known.name] = now + SuspicionTime();
  else if (known.state == member_state::kDead)
    timer_due_[known.name] = now + options_.tombstone_retention;
  else
    timer_due_.erase(known.name);
}

std::vector<std::string> membership_table::Expire(time_point now) {
  std::vector<std::string> died;
  for (auto it = timer_due_.begin(); it != timer_due_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    auto& known = other_members_.find(it->first)->second;
    if (known.state != member_state::kDead) {
      known.state = member_state::kDead;
      it->second = now + options_.tombstone_retention;
      died.push_back(known.name);
      ++it;
    } else {
      name_by_process_id_.erase(ProcessId(known.name, known.incarnation));
      other_members_.erase(it->first);
      it = timer_due_.erase(it);
    }
  }
  return died;
}

void membership_table::PostponeTimers(duration by) {
  for (auto& [name, due] : timer_due_)
    due += by;
}

void membership_table::SetState(member_state state) {
  self_.state = state;
}

void membership_table::SetDigest(member_digest digest) {
  digest.process_id = self_.digest.process_id;
  digest.sequence = self_.digest.sequence + 1;
  if (digest.loads.size() > kMaxServiceLoads)
    digest.loads.resize(kMaxServiceLoads);
  self_.digest = std::move(digest);
}

const member* membership_table::Find(std::string_view name) const {
  if (name == self_.name)
    return &self_;
  const auto found = other_members_.find(name);
  return found == other_members_.end() ? nullptr : &found->second;
}

std::vector<std::string> membership_table::ProbedMembers() const {
  std::vector<std::string> names;
  for (const auto& [name, known] : other_members_) {
    if (IsUp(known))
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> membership_table::AliveMembers() const {
  std::vector<std::string> names;
  for (const auto& [name, known] : other_members_) {
    if (known.state == member_state::kAlive)
      names.push_back(name);
  }
  if (self_.state == member_state::kAlive)
    names.push_back(self_.name);
  return names;
}

std::vector<std::string> membership_table::DeadMembers() const {
  std::vector<std::string> names;
  for (const auto& [name, known] : other_members_) {
    if (!IsUp(known))
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> membership_table::MembersDeadWithin(
    duration time,
    time_point now) const {
  auto names = DeadMembers();
  std::erase_if(names, [&](const std::string& name) {
    const auto died_at =
        timer_due_.find(name)->second - options_.tombstone_retention;
    return now - died_at > time;
  });
  return names;
}

std::uint64_t membership_table::checksum() const {
  std::uint64_t sum = Fingerprint(self_);
  for (const auto& [name, known] : other_members_) {
    if (IsUp(known))
      sum ^= Fingerprint(known);
  }
  return sum;
}

member_checksum membership_table::ChecksumOf(const member& known) {
  return {ProcessId(known.name, 0),
          static_cast<std::uint32_t>(Fingerprint(known))};
}

std::vector<member_checksum> membership_table::MemberChecksums() const {
  std::vector<member_checksum> checksums{ChecksumOf(self_)};
  for (const auto& [name, known] : other_members_) {
    if (IsUp(known))
      checksums.push_back(ChecksumOf(known));
  }
  std::ranges::sort(checksums, {}, &member_checksum::name_id);
  return checksums;
}

// A suspicion must reach the suspected member, and the refutation must reach
// all members, before the time is over. Both take a number of gossip rounds
// that grows with the logarithm of the number of members.
duration membership_table::SuspicionTime() const {
  const auto count = static_cast<double>(other_members_.size() + 1);
  const double factor = std::max(1.0, std::log10(count));
  return std::chrono::duration_cast<duration>(options_.suspicion_timeout *
                                              factor);
}

}  // namespace samphire
