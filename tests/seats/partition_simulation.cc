#include "seats/partition_simulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphire {

void partition_simulation::StartInstance(const std::string& name) {
  partition_timing timing;
  timing.jitter = (random_() % 100) / 100.0;
  partition_manager_state state(name, "r", next_incarnation_++, timing, now_);
  state.SetPartitions(kPartitions, kTakeoverDelay);
  entries.push_back(std::make_unique<entry>(entry{name,
                                                  std::move(state),
                                                  std::nullopt,
                                                  nullptr,
                                                  now_,
                                                  list_lag_,
                                                  "",
                                                  now_,
                                                  {}}));
  if (std::find(listed_.begin(), listed_.end(), name) == listed_.end())
    listed_.push_back(name);
  lists_.emplace_back(now_, listed_);
}

void partition_simulation::Kill(std::size_t index, bool replace) {
  const auto dead = std::move(entries[index]);
  entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(index));
  // Work may still run on the partitions that it used or was releasing.
  for (const auto& [number, partition] : partitions) {
    const auto usable = dead->state.Usable(now_);
    if (std::find(usable.begin(), usable.end(), number) != usable.end() ||
        (dead->state.IsReleasing(number) && !dead->idle.contains(number)))
      work_left_since_[number] = now_;
  }
  if (!replace)
    return StartInstance(dead->name);
  std::erase(listed_, dead->name);
  StartInstance(fmt::format("new-{}", next_name_++));
}

void partition_simulation::Run(milliseconds by, bool faults) {
  for (const auto end = now_ + by; now_ < end && violation.empty();
       now_ += kStep) {
    for (auto it = delayed_writes_.begin(); it != delayed_writes_.end();) {
      if (it->applies_at > now_) {
        ++it;
        continue;
      }
      ApplyWrite(it->write);
      it = delayed_writes_.erase(it);
    }
    if (faults && Chance(1) && !entries.empty())
      Kill(random_() % entries.size(), Chance(50));
    for (auto& one : entries) {
      if (faults && Chance(1))
        one->paused_until = now_ + milliseconds(random_() % 60'000);
      if (one->paused_until <= now_)
        Advance(*one, faults);
    }
    CheckInvariants();
  }
}

void partition_simulation::Advance(entry& one, bool faults) {
  one.state.SetMembers(ReachablePeers(one, faults), now_);
  if (one.pending_result) {
    std::exchange(one.pending_result, nullptr)(now_);
  } else if (one.pending_action) {
    Perform(one, *std::exchange(one.pending_action, std::nullopt), faults);
  } else {
    one.pending_action = one.state.Next(now_, [&](std::uint32_t partition) {
      if (Chance(50))
        one.idle.insert(partition);
      return one.idle.contains(partition);
    });
  }
}

std::vector<std::string> partition_simulation::ReachablePeers(entry& one,
                                                              bool faults) {
  auto members = Names();
  if (faults && unreachable_peers_ && Chance(1)) {
    one.unreachable_peer = members[random_() % members.size()];
    one.unreachable_until = now_ + milliseconds(random_() % 30'000);
  }
  if (one.unreachable_until > now_)
    std::erase(members, one.unreachable_peer);
  return members;
}

void partition_simulation::Perform(entry& one,
                                   const partition_action& action,
                                   bool faults) {
  if (std::holds_alternative<idle_until>(action))
    return;
  ++calls;
  if (faults && Chance(5)) {
    one.pending_result = [&one](time_point at) { one.state.OnStoreError(at); };
  } else if (std::holds_alternative<list_partitions>(action)) {
    one.pending_result = [&one, snapshot = partitions](time_point at) {
      one.state.OnPartitions(snapshot, at);
    };
  } else if (std::holds_alternative<list_instances>(action)) {
    if (faults && Chance(20))
      one.lag = milliseconds(random_() % list_lag_.count());
    one.pending_result = [&one,
                          snapshot = ListedAt(now_ - one.lag)](time_point at) {
      one.state.OnInstances(snapshot, at);
    };
  } else {
    PerformWrite(one, std::get<write_partition>(action), faults);
  }
}

void partition_simulation::PerformWrite(entry& one,
                                        const write_partition& write,
                                        bool faults) {
  const int outcome = faults ? static_cast<int>(random_() % 10) : 9;
  if (outcome == 0)
    delayed_writes_.push_back({now_ + milliseconds(random_() % 20'000), write});
  const auto version = outcome <= 1 ? std::nullopt : ApplyWrite(write);
  const bool acknowledged = outcome > 2 && version;
  one.pending_result = [&one, write, version, acknowledged](time_point at) {
    acknowledged ? one.state.OnWritten(write, *version, at)
                 : one.state.OnNotWritten(at);
  };
}

std::optional<std::uint64_t> partition_simulation::ApplyWrite(
    const write_partition& write) {
  auto& partition = partitions[write.number];
  if (partition.version != write.expected_version)
    return std::nullopt;
  partition = {++revision_, write.record};
  return partition.version;
}

std::vector<instance_info> partition_simulation::ListedAt(time_point at) const {
  std::vector<instance_info> list;
  for (auto it = lists_.rbegin(); it != lists_.rend(); ++it) {
    if (it->first > at)
      continue;
    for (const auto& name : it->second)
      list.push_back({name, "entry", "", "r", "d", instance_state::kLive});
    break;
  }
  return list;
}

std::vector<std::string> partition_simulation::Names() const {
  std::vector<std::string> names;
  for (const auto& one : entries)
    names.push_back(one->name);
  return names;
}

bool partition_simulation::AllUsable() const {
  std::size_t usable = 0;
  for (const auto& one : entries)
    usable += one->state.Usable(now_).size();
  return usable == kPartitions;
}

void partition_simulation::CheckInvariants() {
  std::map<std::uint32_t, std::string> users;
  for (const auto& one : entries) {
    for (const auto number : one->state.Usable(now_)) {
      const auto left = work_left_since_.find(number);
      one->idle.erase(number);
      if (!users.emplace(number, one->name).second) {
        violation = fmt::format("partition {} used by {} and {}", number,
                                users[number], one->name);
      } else if (left != work_left_since_.end() &&
                 now_ - left->second < kTakeoverDelay) {
        violation =
            fmt::format("partition {} used by {} too early", number, one->name);
      }
    }
  }
}

}  // namespace samphire
