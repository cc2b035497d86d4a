#include "allowance/seat_keeper.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

#include "base/log.h"

namespace samphire {

struct seat_keeper::action_runner {
  seat_keeper& self;

  duration operator()(const list_seats& /*action*/) const {
    self.ListSeats();
    return duration::zero();
  }
  duration operator()(const list_instances& /*action*/) const {
    self.ListInstances();
    return duration::zero();
  }
  duration operator()(const write_seat& action) const {
    self.Write(action);
    return duration::zero();
  }
  duration operator()(const wait_for_seats& action) const {
    return action.until - self.clock_.now();
  }
};

template <typename F>
auto seat_keeper::WithState(F&& use) {
  std::lock_guard guard(lock_);
  return std::forward<F>(use)(state_);
}

seat_keeper_state seat_keeper::Snapshot() const {
  std::lock_guard guard(lock_);
  return state_;
}

seat_keeper::seat_keeper(object_store& store,
                         const clock_source& clock,
                         metrics& metrics,
                         std::string region,
                         seat_keeper_state state,
                         seat_user& user)
    : store_(store),
      clock_(clock),
      metrics_(metrics),
      region_(std::move(region)),
      user_(user),
      state_(std::move(state)) {}

seat_keeper::~seat_keeper() {
  Stop();
}

void seat_keeper::Start() {
  thread_.Start([this] { return Step(); });
}

void seat_keeper::Stop() {
  thread_.Stop();
}

void seat_keeper::SetSeats(std::uint32_t count, duration quarantine) {
  WithState([&](auto& state) { state.SetSeats(count, quarantine); });
  thread_.Wake();
}

void seat_keeper::SetMembers(const std::vector<std::string>& members) {
  WithState([&](auto& state) { state.SetMembers(members, clock_.now()); });
  thread_.Wake();
}

void seat_keeper::Leave() {
  WithState([&](auto& state) { state.SetLeaving(clock_.now()); });
  thread_.Wake();
}

std::size_t seat_keeper::held() const {
  return Snapshot().held();
}

std::vector<std::uint32_t> seat_keeper::Usable() const {
  return Snapshot().Usable(clock_.now());
}

std::vector<std::uint32_t> seat_keeper::Stranded() const {
  return Snapshot().Stranded();
}

// The user is told of the very state that is decided on: a seat that it was not
// told to give up could say idle now and begin new work a moment later, while
// its release is on the way.
duration seat_keeper::Step() {
  // The user's answers come from other threads' state: not under our lock.
  const auto state = Snapshot();
  TellUser(state);
  const auto action = state.Next(
      clock_.now(), [&](std::uint32_t seat) { return user_.IsIdle(seat); });
  const auto pause = std::visit(action_runner{*this}, action);
  TellUser(Snapshot());
  return pause;
}

void seat_keeper::ListSeats() {
  const auto listed = store_.List(SeatPrefix(region_));
  const auto now = clock_.now();
  if (!listed) {
    CountError(listed.error());
    WithState([&](auto& state) { state.OnStoreError(now); });
    return;
  }
  seat_views seats;
  for (const auto& object : listed.value()) {
    std::uint32_t number = 0;
    const auto digits =
        std::string_view(object.key).substr(SeatPrefix(region_).size());
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const auto record = ReadSeat(object.value);
    if (!record)
      CountError(record.error());
    // A seat that can't be read may be in use: it is nobody's to take until an
    // operator deletes the object.
    seats[number] = {
        object.version,
        record ? record.value() : seat_record{std::string(kUnreadableHolder)}};
  }
  WithState([&](auto& state) { state.OnSeats(seats, now); });
}

void seat_keeper::ListInstances() {
  const auto listed = store_.Instances();
  const auto now = clock_.now();
  if (!listed) {
    CountError(listed.error());
    WithState([&](auto& state) { state.OnStoreError(now); });
    return;
  }
  WithState([&](auto& state) { state.OnInstances(listed.value(), now); });
}

void seat_keeper::Write(const write_seat& write) {
  const auto put = store_.Put(SeatKey(region_, write.number),
                              WriteSeat(write.record), write.expected);
  const auto now = clock_.now();
  if (!put) {
    CountError(put.error());
    const bool read_back =
        put.error().code == result_code::kStoreConflict ||
        put.error().code == result_code::kStoreOutcomeUnknown;
    WithState([&](auto& state) {
      read_back ? state.OnNotWritten(now) : state.OnStoreError(now);
    });
    return;
  }
  const bool claim = !write.record.holder.empty();
  metrics_.Count(claim ? "seats_claimed_total" : "seats_released_total",
                 fmt::format("wait=\"{}\"", write.record.wait));
  Log(log_level::kInfo, claim ? "seat-claimed" : "seat-released",
      {{"region", region_},
       {"seat", write.number},
       {"wait", write.record.wait}});
  WithState([&](auto& state) { state.OnWritten(write, put.value(), now); });
}

void seat_keeper::TellUser(const seat_keeper_state& state) {
  if (state.lost() != lost_) {
    metrics_.Count("seats_lost_total", {},
                   static_cast<std::int64_t>(state.lost() - lost_));
    Log(log_level::kError, "seat-lost", {{"region", region_}});
    lost_ = state.lost();
  }
  auto waiting = state.Waiting(clock_.now());
  if (waiting != told_waiting_) {
    told_waiting_ = std::move(waiting);
    user_.OnWaitingSeats(told_waiting_);
  }
  auto usable = state.Usable(clock_.now());
  if (usable == told_)
    return;
  told_ = std::move(usable);
  metrics_.Set("seats_usable", {}, static_cast<double>(told_.size()));
  user_.OnSeats(told_);
}

void seat_keeper::CountError(const error& why) {
  metrics_.Count("seat_errors_total",
                 fmt::format("reason=\"{}\"", NameOf(why.code)));
}

}  // namespace samphire
