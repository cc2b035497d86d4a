#include "seats/seat_world.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphire {

void seat_world::StartInstance(const std::string& name) {
  seat_limits limits;
  limits.jitter = (random_() % 100) / 100.0;
  seat_keeper_state state(name, "r", next_incarnation_++, limits, now_);
  state.SetSeats(kSeats, kQuarantine);
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

void seat_world::Kill(std::size_t index, bool replace) {
  const auto dead = std::move(entries[index]);
  entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(index));
  // Work may run on what it used, and on what it was giving up.
  for (const auto& [number, seat] : seats) {
    const auto usable = dead->state.Usable(now_);
    if (std::find(usable.begin(), usable.end(), number) != usable.end() ||
        (dead->state.IsLettingGo(number) && !dead->idle.contains(number)))
      work_left_[number] = now_;
  }
  if (!replace)
    return StartInstance(dead->name);
  std::erase(listed_, dead->name);
  StartInstance(fmt::format("new-{}", next_name_++));
}

void seat_world::Run(milliseconds by, bool faults) {
  for (const auto end = now_ + by; now_ < end && violation.empty();
       now_ += kStep) {
    for (auto it = late_.begin(); it != late_.end();) {
      if (it->lands_at > now_) {
        ++it;
        continue;
      }
      Land(it->write);
      it = late_.erase(it);
    }
    if (faults && Chance(1) && !entries.empty())
      Kill(random_() % entries.size(), Chance(50));
    for (auto& one : entries) {
      if (faults && Chance(1))
        one->paused_until = now_ + milliseconds(random_() % 60'000);
      if (one->paused_until <= now_)
        Advance(*one, faults);
    }
    Judge();
  }
}

void seat_world::Advance(entry& one, bool faults) {
  one.state.SetMembers(HeardBy(one, faults), now_);
  if (one.answer) {
    std::exchange(one.answer, nullptr)(now_);
  } else if (one.decided) {
    Do(one, *std::exchange(one.decided, std::nullopt), faults);
  } else {
    one.decided = one.state.Next(now_, [&](std::uint32_t seat) {
      if (Chance(50))
        one.idle.insert(seat);
      return one.idle.contains(seat);
    });
  }
}

std::vector<std::string> seat_world::HeardBy(entry& one, bool faults) {
  auto members = Names();
  if (faults && deafness_ && Chance(1)) {
    one.deaf_to = members[random_() % members.size()];
    one.deaf_until = now_ + milliseconds(random_() % 30'000);
  }
  if (one.deaf_until > now_)
    std::erase(members, one.deaf_to);
  return members;
}

void seat_world::Do(entry& one, const seat_action& action, bool faults) {
  if (std::holds_alternative<wait_for_seats>(action))
    return;
  ++calls;
  if (faults && Chance(5)) {
    one.answer = [&one](time_point at) { one.state.OnStoreError(at); };
  } else if (std::holds_alternative<list_seats>(action)) {
    one.answer = [&one, seen = seats](time_point at) {
      one.state.OnSeats(seen, at);
    };
  } else if (std::holds_alternative<list_instances>(action)) {
    if (faults && Chance(20))
      one.lag = milliseconds(random_() % list_lag_.count());
    one.answer = [&one, seen = ListedAt(now_ - one.lag)](time_point at) {
      one.state.OnInstances(seen, at);
    };
  } else {
    DoWrite(one, std::get<write_seat>(action), faults);
  }
}

void seat_world::DoWrite(entry& one, const write_seat& write, bool faults) {
  const int fate = faults ? static_cast<int>(random_() % 10) : 9;
  if (fate == 0)
    late_.push_back({now_ + milliseconds(random_() % 20'000), write});
  const auto version = fate <= 1 ? std::nullopt : Land(write);
  const bool told = fate > 2 && version;
  one.answer = [&one, write, version, told](time_point at) {
    told ? one.state.OnWritten(write, *version, at)
         : one.state.OnNotWritten(at);
  };
}

std::optional<std::uint64_t> seat_world::Land(const write_seat& write) {
  auto& seat = seats[write.number];
  if (seat.version != write.expected)
    return std::nullopt;
  seat = {++revision_, write.record};
  return seat.version;
}

std::vector<instance_info> seat_world::ListedAt(time_point at) const {
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

std::vector<std::string> seat_world::Names() const {
  std::vector<std::string> names;
  for (const auto& one : entries)
    names.push_back(one->name);
  return names;
}

bool seat_world::AllUsable() const {
  std::size_t usable = 0;
  for (const auto& one : entries)
    usable += one->state.Usable(now_).size();
  return usable == kSeats;
}

void seat_world::Judge() {
  std::map<std::uint32_t, std::string> users;
  for (const auto& one : entries) {
    for (const auto number : one->state.Usable(now_)) {
      const auto left = work_left_.find(number);
      one->idle.erase(number);
      if (!users.emplace(number, one->name).second) {
        violation = fmt::format("seat {} used by {} and {}", number,
                                users[number], one->name);
      } else if (left != work_left_.end() &&
                 now_ - left->second < kQuarantine) {
        violation =
            fmt::format("seat {} used by {} too early", number, one->name);
      }
    }
  }
}

}  // namespace samphire
