#include "allowance/partition_manager.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

#include "base/log.h"

namespace samphire {

struct partition_manager::action_runner {
  partition_manager& self;

  duration operator()(const list_partitions& /*action*/) const {
    self.ListPartitions();
    return duration::zero();
  }
  duration operator()(const list_instances& /*action*/) const {
    self.ListInstances();
    return duration::zero();
  }
  duration operator()(const write_partition& action) const {
    self.WritePartition(action);
    return duration::zero();
  }
  duration operator()(const idle_until& action) const {
    return action.until - self.clock_.now();
  }
};

template <typename F>
auto partition_manager::WithState(F&& use) {
  std::lock_guard guard(lock_);
  return std::forward<F>(use)(state_);
}

partition_manager_state partition_manager::Snapshot() const {
  std::lock_guard guard(lock_);
  return state_;
}

partition_manager::partition_manager(object_store& store,
                                     const clock_source& clock,
                                     metrics& metrics,
                                     std::string region,
                                     partition_manager_state state,
                                     partition_user& user)
    : store_(store),
      clock_(clock),
      metrics_(metrics),
      region_(std::move(region)),
      user_(user),
      state_(std::move(state)) {}

partition_manager::~partition_manager() {
  Stop();
}

void partition_manager::Start() {
  thread_.Start([this] { return Step(); });
}

void partition_manager::Stop() {
  thread_.Stop();
}

void partition_manager::SetPartitions(std::uint32_t count,
                                      duration takeover_delay) {
  WithState([&](auto& state) { state.SetPartitions(count, takeover_delay); });
  thread_.Wake();
}

void partition_manager::SetMembers(const std::vector<std::string>& members) {
  WithState([&](auto& state) { state.SetMembers(members, clock_.now()); });
  thread_.Wake();
}

void partition_manager::Leave() {
  WithState([&](auto& state) { state.SetLeaving(clock_.now()); });
  thread_.Wake();
}

std::size_t partition_manager::owned_count() const {
  return Snapshot().owned_count();
}

std::vector<std::uint32_t> partition_manager::Usable() const {
  return Snapshot().Usable(clock_.now());
}

std::vector<std::uint32_t> partition_manager::Stranded() const {
  return Snapshot().Stranded();
}

// The user is notified of the same state that the decision is based on.
// Otherwise a partition that the user does not yet know to be releasing could
// be reported idle now and start new work a moment later, while its release is
// being written.
duration partition_manager::Step() {
  // The user's callbacks read state of other threads, so they are called
  // without the lock held.
  const auto state = Snapshot();
  NotifyUser(state);
  const auto action = state.Next(clock_.now(), [&](std::uint32_t partition) {
    return user_.IsIdle(partition);
  });
  const auto delay = std::visit(action_runner{*this}, action);
  NotifyUser(Snapshot());
  return delay;
}

void partition_manager::ListPartitions() {
  const auto listed = store_.List(PartitionPrefix(region_));
  const auto now = clock_.now();
  if (!listed) {
    CountError(listed.error());
    WithState([&](auto& state) { state.OnStoreError(now); });
    return;
  }
  partition_views partitions;
  for (const auto& object : listed.value()) {
    std::uint32_t number = 0;
    const auto digits =
        std::string_view(object.key).substr(PartitionPrefix(region_).size());
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const auto record = ParsePartition(object.value);
    if (!record)
      CountError(record.error());
    // A partition whose record can't be parsed may be in use. No entry may
    // claim it until an operator deletes the object.
    partitions[number] = {
        object.version, record
                            ? record.value()
                            : partition_record{std::string(kUnreadableOwner)}};
  }
  WithState([&](auto& state) { state.OnPartitions(partitions, now); });
}

void partition_manager::ListInstances() {
  const auto listed = store_.Instances();
  const auto now = clock_.now();
  if (!listed) {
    CountError(listed.error());
    WithState([&](auto& state) { state.OnStoreError(now); });
    return;
  }
  WithState([&](auto& state) { state.OnInstances(listed.value(), now); });
}

void partition_manager::WritePartition(const write_partition& write) {
  const auto put =
      store_.Put(PartitionKey(region_, write.number),
                 FormatPartition(write.record), write.expected_version);
  const auto now = clock_.now();
  if (!put) {
    CountError(put.error());
    const bool must_reread =
        put.error().code == result_code::kStoreConflict ||
        put.error().code == result_code::kStoreOutcomeUnknown;
    WithState([&](auto& state) {
      must_reread ? state.OnNotWritten(now) : state.OnStoreError(now);
    });
    return;
  }
  const bool claim = !write.record.owner.empty();
  metrics_.Count(claim ? "seats_claimed_total" : "seats_released_total",
                 fmt::format("wait=\"{}\"", write.record.needs_takeover_delay));
  Log(log_level::kInfo, claim ? "seat-claimed" : "seat-released",
      {{"region", region_},
       {"seat", write.number},
       {"wait", write.record.needs_takeover_delay}});
  WithState([&](auto& state) { state.OnWritten(write, put.value(), now); });
}

void partition_manager::NotifyUser(const partition_manager_state& state) {
  if (state.lost() != reported_lost_) {
    metrics_.Count("seats_lost_total", {},
                   static_cast<std::int64_t>(state.lost() - reported_lost_));
    Log(log_level::kError, "seat-lost", {{"region", region_}});
    reported_lost_ = state.lost();
  }
  auto takeovers = state.InTakeover(clock_.now());
  if (takeovers != reported_takeovers_) {
    reported_takeovers_ = std::move(takeovers);
    user_.OnPartitionTakeovers(reported_takeovers_);
  }
  auto usable = state.Usable(clock_.now());
  if (usable == reported_usable_)
    return;
  reported_usable_ = std::move(usable);
  metrics_.Set("seats_usable", {},
               static_cast<double>(reported_usable_.size()));
  user_.OnUsablePartitions(reported_usable_);
}

void partition_manager::CountError(const error& why) {
  metrics_.Count("seat_errors_total",
                 fmt::format("reason=\"{}\"", NameOf(why.code)));
}

}  // namespace samphire
