#include "routing/lab_target.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// As long as entries wait for a connection to a target.
constexpr milliseconds kConnectTimeout{250};

}  // namespace

lab_target::lab_target(live_target description,
                       const lab_scenario& scenario,
                       event_queue& events,
                       std::mt19937_64& random)
    : description_(std::move(description)),
      scenario_(scenario),
      events_(events),
      random_(random) {}

target_report lab_target::Report() const {
  return {.running = running_,
          .waiting = static_cast<std::uint32_t>(waiting_.size()),
          .slots = scenario_.slots};
}

double lab_target::Part() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

void lab_target::Submit(const work_ptr& item) {
  if (dark) {
    events_.After(kConnectTimeout,
                  [item] { item->on_end(attempt_result::kConnectFailed); });
  } else if (down_) {
    item->on_end(attempt_result::kConnectFailed);
  } else if (Part() < shed_share || waiting_.size() >= scenario_.queue) {
    item->on_end(attempt_result::kTargetRefused);
  } else if (running_ < scenario_.slots) {
    Start(item);
  } else {
    waiting_.push_back(item);
  }
}

// Work whose sender gave up stops at once, as real targets stop when their
// connection closes.
void lab_target::Cancel(const work_ptr& item) {
  if (std::exchange(item->cancelled, true))
    return;
  std::erase(waiting_, item);
  if (item->running && item->life == life_) {
    --running_;
    StartNext();
  }
}

void lab_target::Crash() {
  down_ = true;
  ++life_;
  running_ = 0;
  memory_.clear();
  for (const auto& item : std::exchange(waiting_, {}))
    item->on_end(attempt_result::kLost);
}

void lab_target::ComeBack(std::int64_t started_ms) {
  down_ = false;
  description_.started_ms = started_ms;
}

void lab_target::Start(const work_ptr& item) {
  ++running_;
  item->running = true;
  item->life = life_;
  item->cold = !Remembers(item->key_hash);
  std::normal_distribution<double> spread(1, scenario_.work_spread);
  constexpr double kLeast = 0.3;
  const double ms = static_cast<double>(item->cold_work.count()) *
                    (item->cold ? 1 : scenario_.warm_share) * slowness *
                    std::max(kLeast, spread(random_));
  events_.After(std::chrono::duration_cast<duration>(
                    std::chrono::duration<double, std::milli>(ms)),
                [this, item] { End(item); });
}

void lab_target::End(const work_ptr& item) {
  if (item->cancelled)
    return;
  if (item->life != life_) {
    item->on_end(attempt_result::kLost);
    return;
  }
  item->running = false;
  --running_;
  Remember(item->key_hash);
  item->on_end(Part() < fail_share ? attempt_result::kTargetError
                                   : attempt_result::kAnswered);
  StartNext();
}

void lab_target::StartNext() {
  if (waiting_.empty() || running_ >= scenario_.slots)
    return;
  const auto next = waiting_.front();
  waiting_.pop_front();
  Start(next);
}

bool lab_target::Remembers(std::uint64_t key_hash) const {
  return std::find(memory_.begin(), memory_.end(), key_hash) != memory_.end();
}

void lab_target::Remember(std::uint64_t key_hash) {
  memory_.remove(key_hash);
  memory_.push_front(key_hash);
  if (memory_.size() > scenario_.memory)
    memory_.pop_back();
}

}  // namespace samphire
