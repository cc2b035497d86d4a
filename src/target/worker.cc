#include "worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>

#include "service_time.h"

namespace samphire {

namespace {

// Interval at which a running request checks that its caller is still
// connected.
constexpr milliseconds kDisconnectPollInterval{2};

// Returns a run number that is unique among all processes that write to one
// history: the upper part is random per process, the lower part is a counter.
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

worker::run worker::Start(const request_directives& directives) {
  std::lock_guard guard(lock_);
  if (draining_)
    return run{.refusal = start_refusal::kDraining};
  if (behavior_.sheds_load && in_flight_ >= identity_.slots) {
    history_.Write(run_shed{.time_us = HistoryNow(),
                            .target = identity_.full_name(),
                            .request_id = directives.id,
                            .in_flight = in_flight_});
    return run{.refusal = start_refusal::kSlotsBusy};
  }
  ++in_flight_;
  RecordLoad();
  std::uniform_real_distribution<double> uniform(0, 1);
  const double draw = uniform(random_);
  const double long_draw = uniform(random_);
  const run started{
      .number = NextRunNumber(),
      .generation = generation_,
      .service_time = directives.sleep
                          ? duration(*directives.sleep)
                          : ServiceTime(behavior_, draw, long_draw, served_,
                                        in_flight_, identity_.slots)};
  ++served_;
  // Written under the lock, so that the history shows starts and ends in the
  // order in which slots were acquired and released.
  history_.Write(run_started{.time_us = HistoryNow(),
                             .target = identity_.full_name(),
                             .run = started.number,
                             .request_id = directives.id,
                             .key = directives.key});
  return started;
}

bool worker::WaitForCompletion(
    const run& run,
    const request_directives& directives,
    const std::function<bool()>& caller_disconnected) {
  const auto begin = std::chrono::steady_clock::now();
  const auto done = begin + run.service_time;
  const auto deadline =
      directives.deadline ? begin + *directives.deadline : time_point::max();
  std::unique_lock guard(lock_);
  while (generation_ == run.generation) {
    const auto now = std::chrono::steady_clock::now();
    if (now >= done)
      return true;
    if (now >= deadline)
      return false;
    guard.unlock();
    if (caller_disconnected())
      return false;
    guard.lock();
    crashed_.wait_until(guard, std::min(done, now + kDisconnectPollInterval));
  }
  return false;
}

void worker::EndRun(const run& run,
                    run_outcome outcome,
                    history_time measured_us) {
  std::lock_guard guard(lock_);
  if (generation_ == run.generation) {
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
  return generation_ != run.generation;
}

void worker::SetDraining(bool draining) {
  std::lock_guard guard(lock_);
  draining_ = draining;
  history_.Write(target_leaving{.time_us = HistoryNow(),
                                .target = identity_.full_name(),
                                .leaving = draining});
}

void worker::StopAccepting() {
  std::lock_guard guard(lock_);
  draining_ = true;
}

void worker::Crash() {
  std::lock_guard guard(lock_);
  ++generation_;
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

void worker::Restart() {
  std::lock_guard guard(lock_);
  down_ = false;
}

void worker::RecordLoad() {
  const auto now = std::chrono::steady_clock::now();
  load_.push_back({now, in_flight_});
  // The load report shows the newest sample that is older than the lag.
  while (load_.size() > 1 && load_[1].at + behavior_.load_report_lag <= now)
    load_.pop_front();
}

std::string worker::LoadReport() {
  std::lock_guard guard(lock_);
  RecordLoad();
  const auto reported =
      load_.front().in_flight * behavior_.reported_load_factor;
  return fmt::format(
      R"({{"target":"{}","slots":{},"in_flight":{},"leaving":{}}})",
      identity_.full_name(), identity_.slots,
      static_cast<std::int64_t>(reported), draining_);
}

bool worker::idle() const {
  std::lock_guard guard(lock_);
  return in_flight_ == 0;
}

bool worker::draining() const {
  std::lock_guard guard(lock_);
  return draining_;
}

}  // namespace samphire
