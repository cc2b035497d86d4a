#include <algorithm>

#include "allowance/seat_keeper_state.h"

namespace samphire {

namespace {

// How many members ask the platform's list about a silent holder. All members
// of a large region would cost it as many reads of a long list; a few are
// enough, and when they fail themselves, others move up.
constexpr std::uint32_t kAskers = 3;
// How often a seat that is being given up is looked at.
constexpr milliseconds kIdleCheck{100};

}  // namespace

// A seat that was never usable here still owes the wait for its predecessor,
// and hands it on.
std::optional<write_seat> seat_keeper_state::Release(
    time_point now,
    const std::function<bool(std::uint32_t)>& is_idle) const {
  for (const auto& [number, seat] : own_) {
    if (seat.letting_go && is_idle(number)) {
      return write_seat{
          number, seat.version, {"", incarnation_, now < seat.usable_at}};
    }
  }
  return std::nullopt;
}

std::optional<write_seat> seat_keeper_state::Claim(time_point now) const {
  if (leaving_)
    return std::nullopt;
  const auto shares = Shares();
  for (std::uint32_t number = 0; number < count_; ++number) {
    const auto& seat = SeatAt(number);
    if (IsOwnBefore(seat.record) || MayTake(number, shares, now))
      return MakeClaim(number, seat);
  }
  return std::nullopt;
}

// Up to its share of all entries that the platform lists, an entry takes a
// vacant seat at once; more only when nobody else came for a while. An entry
// that starts first, and hears no peer yet, would else take the whole region
// and have to hand most of it over again.
bool seat_keeper_state::MayTake(std::uint32_t number,
                                const seat_shares& shares,
                                time_point now) const {
  const auto vacant = vacant_since_.find(number);
  if (vacant == vacant_since_.end() || !listed_.contains(self_))
    return false;
  const auto mine = shares.HeldBy(self_);
  if (mine >= shares.most())
    return false;
  auto expected = members_;
  expected.insert(listed_.begin(), listed_.end());
  const bool within_share = mine < count_ / expected.size();
  const auto wait = shares.RankFor(number, self_) * limits_.rank_delay +
                    (within_share ? milliseconds(0) : limits_.patience);
  return now >= vacant->second + wait;
}

write_seat seat_keeper_state::MakeClaim(std::uint32_t number,
                                        const seat_view& seat) const {
  const bool released = seat.record.holder.empty();
  const bool wait = released ? seat.record.wait : true;
  return {number, seat.version, {self_, incarnation_, wait}};
}

bool seat_keeper_state::IsOwn(const seat_record& record) const {
  return record.holder == self_ && record.incarnation == incarnation_;
}

bool seat_keeper_state::IsOwnBefore(const seat_record& record) const {
  return record.holder == self_ && record.incarnation != incarnation_;
}

bool seat_keeper_state::IsSilent(const seat_record& record) const {
  return !record.holder.empty() && record.holder != kUnreadableHolder &&
         !members_.contains(record.holder);
}

// A holder is only gone if peers hear nothing of it either: should the list be
// wrong about an instance that is alive, its seat must not get a second owner.
bool seat_keeper_state::IsVacant(const seat_record& record) const {
  return record.holder.empty() ||
         (IsSilent(record) && holders_.IsGone(record.holder));
}

std::vector<std::string> seat_keeper_state::Questionable() const {
  const auto shares = Shares();
  std::set<std::string> names;
  for (const auto& [number, seat] : seats_) {
    if (number < count_ && IsSilent(seat.record) &&
        shares.RankFor(number, self_) < kAskers)
      names.insert(seat.record.holder);
  }
  return {names.begin(), names.end()};
}

bool seat_keeper_state::NeedsInstances() const {
  if (leaving_)
    return false;
  return !Questionable().empty() ||
         (!vacant_since_.empty() && !listed_.contains(self_));
}

bool seat_keeper_state::Settled() const {
  const auto shares = Shares();
  return vacant_since_.empty() && !AnyLettingGo() && Questionable().empty() &&
         shares.HeldBy(self_) >= shares.least() && !shares.MayRelease(self_);
}

time_point seat_keeper_state::WakeAt(time_point now) const {
  auto wake = list_at_;
  if (NeedsInstances())
    wake = std::min(wake, instances_at_);
  if (!vacant_since_.empty())
    wake = std::min(wake, now + limits_.rank_delay);
  for (const auto& [number, seat] : own_) {
    if (seat.letting_go)
      wake = std::min(wake, now + kIdleCheck);
  }
  if (const auto usable = NextUsableAt(now))
    wake = std::min(wake, *usable);
  return wake;
}

const seat_view& seat_keeper_state::SeatAt(std::uint32_t number) const {
  static const seat_view never_written;
  const auto found = seats_.find(number);
  return found == seats_.end() ? never_written : found->second;
}

bool seat_keeper_state::AnyLettingGo() const {
  return std::any_of(own_.begin(), own_.end(),
                     [](const auto& item) { return item.second.letting_go; });
}

seat_shares seat_keeper_state::Shares() const {
  return {seats_, count_, members_};
}

}  // namespace samphire
