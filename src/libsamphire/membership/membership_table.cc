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

// A suspect counts as the state it had: whether it answers is seen
// differently by different members, and they would compare forever.
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

membership_table::effect membership_table::MergeRecord(const member& seen,
                                                       time_point now) {
  if (seen.name == self_.name)
    return MergeSelf(seen);
  // A member of another region would be probed across regions, and its news
  // would fill this region's messages.
  if (seen.region != self_.region || seen.name.empty())
    return effect::kNone;
  const auto found = others_.find(seen.name);
  if (found == others_.end() || found->second.incarnation < seen.incarnation) {
    if (found != others_.end())
      by_process_.erase(
          ProcessId(found->second.name, found->second.incarnation));
    // The death of a process that was never known is no news.
    if (found == others_.end() && seen.state == member_state::kDead)
      return effect::kNone;
    by_process_[ProcessId(seen.name, seen.incarnation)] = seen.name;
    auto& known = others_[seen.name] = seen;
    known.digest.process_id = ProcessId(seen.name, seen.incarnation);
    NoteTime(seen, now);
    return effect::kChanged;
  }
  MergeDigest(seen.digest);
  return Adopt(found->second, RumourOf(seen), now);
}

membership_table::effect membership_table::MergeRumour(
    const member_rumour& seen,
    time_point now) {
  if (seen.name == self_.name)
    return MergeSelf(seen);
  const auto found = others_.find(seen.name);
  if (found == others_.end() || found->second.incarnation < seen.incarnation) {
    return seen.state == member_state::kDead ? effect::kNone : effect::kUnknown;
  }
  return Adopt(found->second, seen, now);
}

membership_table::effect membership_table::Adopt(member& known,
                                                 const member_rumour& seen,
                                                 time_point now) {
  if (seen.rank() <= known.rank())
    return effect::kNone;
  known.refutation = seen.refutation;
  known.state = seen.state;
  NoteTime(known, now);
  return effect::kChanged;
}

// A false suspicion: messages were lost or a link was cut one way. The members
// would declare this process dead and stop sending it work, though it serves.
// Only the process itself can raise its count, so the contradiction wins over
// the suspicion wherever both arrive.
template <typename T>
membership_table::effect membership_table::MergeSelf(const T& seen) {
  if (seen.incarnation > self_.incarnation)
    return effect::kReplaced;
  if (seen.incarnation < self_.incarnation || seen.rank() <= self_.rank())
    return effect::kNone;
  self_.refutation = seen.refutation + 1;
  return effect::kRefuted;
}

void membership_table::MergeDigest(const member_digest& seen) {
  const auto process = by_process_.find(seen.process_id);
  if (process == by_process_.end())
    return;
  auto& known = others_.find(process->second)->second.digest;
  if (seen.sequence > known.sequence)
    known = seen;
}

membership_table::effect membership_table::Suspect(const std::string& name,
                                                   time_point now) {
  const auto found = others_.find(name);
  if (found == others_.end())
    return effect::kNone;
  auto rumour = RumourOf(found->second);
  rumour.state = member_state::kSuspect;
  return Adopt(found->second, rumour, now);
}

void membership_table::NoteTime(const member& known, time_point now) {
  if (known.state == member_state::kSuspect)
    due_[known.name] = now + SuspicionTime();
  else if (known.state == member_state::kDead)
    due_[known.name] = now + options_.tombstone;
  else
    due_.erase(known.name);
}

std::vector<std::string> membership_table::Expire(time_point now) {
  std::vector<std::string> died;
  for (auto it = due_.begin(); it != due_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    auto& known = others_.find(it->first)->second;
    if (known.state == member_state::kSuspect) {
      known.state = member_state::kDead;
      it->second = now + options_.tombstone;
      died.push_back(known.name);
      ++it;
    } else {
      by_process_.erase(ProcessId(known.name, known.incarnation));
      others_.erase(it->first);
      it = due_.erase(it);
    }
  }
  return died;
}

void membership_table::Postpone(duration by) {
  for (auto& [name, due] : due_)
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
  const auto found = others_.find(name);
  return found == others_.end() ? nullptr : &found->second;
}

std::vector<std::string> membership_table::Probed() const {
  std::vector<std::string> names;
  for (const auto& [name, known] : others_) {
    if (IsUp(known))
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> membership_table::Working() const {
  std::vector<std::string> names;
  for (const auto& [name, known] : others_) {
    if (known.state == member_state::kAlive)
      names.push_back(name);
  }
  if (self_.state == member_state::kAlive)
    names.push_back(self_.name);
  return names;
}

std::vector<std::string> membership_table::Dead() const {
  std::vector<std::string> names;
  for (const auto& [name, known] : others_) {
    if (!IsUp(known))
      names.push_back(name);
  }
  return names;
}

std::uint64_t membership_table::checksum() const {
  std::uint64_t sum = Fingerprint(self_);
  for (const auto& [name, known] : others_) {
    if (IsUp(known))
      sum ^= Fingerprint(known);
  }
  return sum;
}

member_stamp membership_table::StampOf(const member& known) {
  return {ProcessId(known.name, 0),
          static_cast<std::uint32_t>(Fingerprint(known))};
}

std::vector<member_stamp> membership_table::Stamps() const {
  std::vector<member_stamp> stamps{StampOf(self_)};
  for (const auto& [name, known] : others_) {
    if (IsUp(known))
      stamps.push_back(StampOf(known));
  }
  std::ranges::sort(stamps, {}, &member_stamp::name_id);
  return stamps;
}

// A suspicion must reach the suspect, and its answer must reach everyone,
// before the time is over. Both take a number of rounds that grows with the
// logarithm of the members.
duration membership_table::SuspicionTime() const {
  const auto count = static_cast<double>(others_.size() + 1);
  const double factor = std::max(1.0, std::log10(count));
  return std::chrono::duration_cast<duration>(options_.suspicion * factor);
}

}  // namespace samphire
