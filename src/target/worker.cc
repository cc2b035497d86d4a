#include "worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>

#include "service_time.h"

namespace samphire {

namespace {

// How often a run looks whether its caller is still there.
constexpr milliseconds kCancelPoll{2};

// Unique among the processes of a history: the upper part is drawn at random
// once a process, the lower counts.
std::int64_t NextRunNumber() {
  static const std::int64_t process = std::random_device{}() & 0x1fffff;
  static std::atomic<std::int64_t> count{0};
  return (process << 32) | ++count;
}

}  // namespace

worker::worker(worker_identity identity,
               worker_behavior behavior,
               history_writer& history,
               std::uint32_t seed)
    : identity_(std::move(identity)),
      behavior_(behavior),
      history_(history),
      random_(seed) {
  history_.Write(target_declared{.time_us = HistoryNow(),
                                 .target = identity_.full_name(),
                                 .region = identity_.region,
                                 .slots = identity_.slots});
}

worker::run worker::Start(const request_order& order) {
  std::lock_guard guard(lock_);
  if (leaving_)
    return run{.refusal = start_refusal::kLeaving};
  if (behavior_.sheds && in_flight_ >= identity_.slots) {
    history_.Write(run_shed{.time_us = HistoryNow(),
                            .target = identity_.full_name(),
                            .request_id = order.id,
                            .in_flight = in_flight_});
    return run{.refusal = start_refusal::kFull};
  }
  ++in_flight_;
  RecordLoad();
  std::uniform_real_distribution<double> uniform(0, 1);
  const double draw = uniform(random_);
  const double long_draw = uniform(random_);
  const run started{
      .number = NextRunNumber(),
      .life = life_,
      .service_time = order.sleep
                          ? duration(*order.sleep)
                          : ServiceTime(behavior_, draw, long_draw, served_,
                                        in_flight_, identity_.slots)};
  ++served_;
  // Written under the lock, so that the history shows starts and ends in the
  // order in which slots were taken and given back.
  history_.Write(run_started{.time_us = HistoryNow(),
                             .target = identity_.full_name(),
                             .run = started.number,
                             .request_id = order.id,
                             .key = order.key});
  return started;
}

bool worker::Work(const run& run,
                  const request_order& order,
                  const std::function<bool()>& gone) {
  const auto begin = std::chrono::steady_clock::now();
  const auto done = begin + run.service_time;
  const auto deadline =
      order.deadline ? begin + *order.deadline : time_point::max();
  std::unique_lock guard(lock_);
  while (life_ == run.life) {
    const auto now = std::chrono::steady_clock::now();
    if (now >= done)
      return true;
    if (now >= deadline)
      return false;
    guard.unlock();
    if (gone())
      return false;
    guard.lock();
    crashed_.wait_until(guard, std::min(done, now + kCancelPoll));
  }
  return false;
}

void worker::End(const run& run,
                 run_outcome outcome,
                 history_time measured_us) {
  std::lock_guard guard(lock_);
  if (life_ == run.life) {
    --in_flight_;
    RecordLoad();
  }
  history_.Write(run_ended{.time_us = HistoryNow(),
                           .target = identity_.full_name(),
                           .run = run.number,
                           .outcome = outcome,
                           .measured_us = measured_us});
}

bool worker::Crashed(const run& run) const {
  std::lock_guard guard(lock_);
  return life_ != run.life;
}

void worker::SetLeaving(bool leaving) {
  std::lock_guard guard(lock_);
  leaving_ = leaving;
  history_.Write(target_leaving{.time_us = HistoryNow(),
                                .target = identity_.full_name(),
                                .leaving = leaving});
}

void worker::Close() {
  std::lock_guard guard(lock_);
  leaving_ = true;
}

void worker::Crash() {
  std::lock_guard guard(lock_);
  ++life_;
  down_ = true;
  in_flight_ = 0;
  served_ = 0;
  RecordLoad();
  crashed_.notify_all();
}

bool worker::down() const {
  std::lock_guard guard(lock_);
  return down_;
}

void worker::StartAgain() {
  std::lock_guard guard(lock_);
  down_ = false;
}

void worker::RecordLoad() {
  const auto now = std::chrono::steady_clock::now();
  load_.push_back({now, in_flight_});
  // The newest sample older than the lag is the one that a report shows.
  while (load_.size() > 1 && load_[1].at + behavior_.load_lag <= now)
    load_.pop_front();
}

std::string worker::LoadReport() {
  std::lock_guard guard(lock_);
  RecordLoad();
  const auto told = load_.front().in_flight * behavior_.load_lie_factor;
  return fmt::format(
      R"({{"target":"{}","slots":{},"in_flight":{},"leaving":{}}})",
      identity_.full_name(), identity_.slots, static_cast<std::int64_t>(told),
      leaving_);
}

bool worker::idle() const {
  std::lock_guard guard(lock_);
  return in_flight_ == 0;
}

bool worker::leaving() const {
  std::lock_guard guard(lock_);
  return leaving_;
}

}  // namespace samphire
