#include "allowance/seat_keeper_state.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// Looks within the time that makes an instance gone.
constexpr int kLooksUntilGone = 5;

}  // namespace

seat_keeper_state::seat_keeper_state(std::string self,
                                     std::string region,
                                     std::uint64_t incarnation,
                                     const seat_limits& limits,
                                     time_point start)
    : self_(std::move(self)),
      region_(std::move(region)),
      incarnation_(incarnation),
      limits_(limits),
      members_{self_},
      holders_(limits.gone_after),
      list_at_(start),
      instances_at_(start),
      busy_every_(limits.busy_every) {}

void seat_keeper_state::SetSeats(std::uint32_t count, duration quarantine) {
  if (count != count_) {
    fresh_ = false;
    list_at_ = time_point();
  }
  count_ = count;
  quarantine_ = quarantine;
}

void seat_keeper_state::SetMembers(const std::vector<std::string>& members,
                                   time_point now) {
  std::set<std::string> present(members.begin(), members.end());
  present.insert(self_);
  if (present == members_)
    return;
  members_ = std::move(present);
  Hurry(now);
}

void seat_keeper_state::SetLeaving(time_point now) {
  leaving_ = true;
  LetGo();
  Hurry(now);
}

// A change is looked into soon, but not by all members in the same instant.
void seat_keeper_state::Hurry(time_point now) {
  busy_every_ = limits_.busy_every;
  const auto spread =
      std::chrono::duration_cast<duration>(limits_.busy_every * limits_.jitter);
  list_at_ = std::min(list_at_, now + spread);
}

void seat_keeper_state::OnSeats(const seat_views& seats, time_point now) {
  const auto same = [](const auto& a, const auto& b) {
    return a.first == b.first && a.second.version == b.second.version;
  };
  const bool changed = !std::equal(seats.begin(), seats.end(), seats_.begin(),
                                   seats_.end(), same);
  seats_ = seats;
  fresh_ = true;
  CompareOwn(now);
  LetGo();
  NoteVacant(now);
  busy_every_ = changed ? limits_.busy_every
                        : std::min(busy_every_ * 2, limits_.busy_at_most);
  const auto idle = std::chrono::duration_cast<duration>(
      limits_.idle_every * (0.75 + limits_.jitter / 2));
  list_at_ = now + (Settled() ? idle : busy_every_);
}

// What the platform shows decides. A seat that it shows as ours though we know
// of no claim is one whose answer was lost; one that it no longer shows as ours
// was taken over because the list had this instance gone. Using that one on
// would put two owners on the same slots; `lost` is how it is noticed.
void seat_keeper_state::CompareOwn(time_point now) {
  lost_ += std::erase_if(own_, [&](const auto& item) {
    const auto seat = seats_.find(item.first);
    return (seat == seats_.end() || !IsOwn(seat->second.record)) &&
           !item.second.letting_go;
  });
  std::erase_if(own_, [&](const auto& item) {
    const auto seat = seats_.find(item.first);
    return seat == seats_.end() || !IsOwn(seat->second.record);
  });
  for (const auto& [number, seat] : seats_) {
    if (!IsOwn(seat.record))
      continue;
    if (const auto known = own_.find(number); known != own_.end())
      known->second.version = seat.version;
    else
      TakeOver(number, seat, now);
  }
}

// The wait counts from here by our own clock, after the claim is known to be
// written: the predecessor was dead by then, so what it lent or ran ends
// within it. No clock of another instance has a part in it.
void seat_keeper_state::TakeOver(std::uint32_t number,
                                 const seat_view& seat,
                                 time_point now) {
  own_[number] = {seat.version, seat.record.wait ? now + quarantine_ : now,
                  leaving_ || number >= count_, now};
}

// Begins to give up what is not ours to keep: everything when leaving, seats
// that the configuration has no more, and one at a time for the sake of even
// shares. Its slots are used by nobody until the release is written, so only
// one is in this state for balance.
void seat_keeper_state::LetGo() {
  for (auto& [number, seat] : own_)
    seat.letting_go = seat.letting_go || leaving_ || number >= count_;
  if (!AnyLettingGo() && !own_.empty() && Shares().ShouldRelease(self_))
    own_.rbegin()->second.letting_go = true;
}

void seat_keeper_state::NoteVacant(time_point now) {
  std::map<std::uint32_t, time_point> vacant;
  for (std::uint32_t number = 0; number < count_; ++number) {
    if (!IsVacant(SeatAt(number).record))
      continue;
    const auto known = vacant_since_.find(number);
    vacant[number] = known == vacant_since_.end() ? now : known->second;
  }
  vacant_since_ = std::move(vacant);
}

void seat_keeper_state::OnInstances(const std::vector<instance_info>& instances,
                                    time_point now) {
  holders_.OnInstances(instances, Questionable(), now);
  listed_.clear();
  for (const auto& instance : instances) {
    if (instance.role == "entry" && instance.region == region_ &&
        instance.state == instance_state::kLive)
      listed_.insert(instance.name);
  }
  NoteVacant(now);
  // A holder that is listed as live but silent is stranded, perhaps for long.
  const auto questionable = Questionable();
  const bool all_listed =
      std::all_of(questionable.begin(), questionable.end(),
                  [&](const auto& name) { return holders_.IsListed(name); });
  const duration look = limits_.gone_after / kLooksUntilGone;
  instances_at_ =
      now +
      (all_listed && !questionable.empty() ? limits_.gone_after * 3 : look);
}

void seat_keeper_state::OnWritten(const write_seat& write,
                                  std::uint64_t version,
                                  time_point now) {
  const seat_view seat{version, write.record};
  seats_[write.number] = seat;
  if (IsOwn(write.record))
    TakeOver(write.number, seat, now);
  else
    own_.erase(write.number);
  vacant_since_.erase(write.number);
  Hurry(now);
}

// Refused, or nobody knows: reading the seats tells which. Until then no
// further write goes out on a view that is known to be old.
void seat_keeper_state::OnNotWritten(time_point now) {
  fresh_ = false;
  list_at_ = now;
}

// In an outage every owner keeps its seats: they have no time-out, so nobody
// can have taken them.
void seat_keeper_state::OnStoreError(time_point now) {
  fresh_ = false;
  busy_every_ = std::min(busy_every_ * 2, limits_.busy_at_most);
  list_at_ = now + busy_every_;
  instances_at_ = std::max(instances_at_, list_at_);
}

seat_action seat_keeper_state::Next(
    time_point now,
    const std::function<bool(std::uint32_t)>& is_idle) const {
  if (count_ == 0)
    return wait_for_seats{now + limits_.idle_every};
  if (now >= list_at_)
    return list_seats{};
  if (!fresh_)
    return wait_for_seats{list_at_};
  if (const auto release = Release(now, is_idle))
    return *release;
  if (const auto claim = Claim(now))
    return *claim;
  if (now >= instances_at_ && NeedsInstances())
    return list_instances{};
  return wait_for_seats{WakeAt(now)};
}

std::vector<std::uint32_t> seat_keeper_state::Usable(time_point now) const {
  std::vector<std::uint32_t> numbers;
  for (const auto& [number, seat] : own_) {
    if (!seat.letting_go && number < count_ && seat.usable_at <= now)
      numbers.push_back(number);
  }
  return numbers;
}

std::vector<waiting_seat> seat_keeper_state::Waiting(time_point now) const {
  std::vector<waiting_seat> waiting;
  for (const auto& [number, seat] : own_) {
    if (!seat.letting_go && number < count_ && seat.usable_at > now)
      waiting.push_back({number, seat.claimed_at});
  }
  return waiting;
}

std::optional<time_point> seat_keeper_state::NextUsableAt(
    time_point now) const {
  std::optional<time_point> next;
  for (const auto& [number, seat] : own_) {
    if (seat.usable_at > now && (!next || seat.usable_at < *next))
      next = seat.usable_at;
  }
  return next;
}

std::vector<std::uint32_t> seat_keeper_state::Stranded() const {
  std::vector<std::uint32_t> numbers;
  for (const auto& [number, seat] : seats_) {
    if (number < count_ && IsSilent(seat.record) &&
        holders_.IsListed(seat.record.holder))
      numbers.push_back(number);
  }
  return numbers;
}

}  // namespace samphire
