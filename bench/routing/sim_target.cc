#include "routing/sim_target.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// The time that entries wait for a connection to a target.
constexpr milliseconds kConnectTimeout{250};

}  // namespace

sim_target::sim_target(live_target description,
                       const sim_scenario& scenario,
                       event_queue& events,
                       std::mt19937_64& random)
    : description_(std::move(description)),
      scenario_(scenario),
      events_(events),
      random_(random) {}

target_report sim_target::Report() const {
  return {.running = running_,
          .waiting = static_cast<std::uint32_t>(waiting_.size()),
          .slots = scenario_.slots};
}

double sim_target::RandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

void sim_target::Submit(const work_ptr& item) {
  if (powered_off) {
    events_.After(kConnectTimeout,
                  [item] { item->on_end(attempt_result::kConnectFailed); });
  } else if (down_) {
    item->on_end(attempt_result::kConnectFailed);
  } else if (RandomFraction() < shed_share ||
             waiting_.size() >= scenario_.queue) {
    item->on_end(attempt_result::kTargetRefused);
  } else if (running_ < scenario_.slots) {
    Start(item);
  } else {
    waiting_.push_back(item);
  }
}

// Cancelled work stops at once, as real targets stop when their connection
// closes.
void sim_target::Cancel(const work_ptr& item) {
  if (std::exchange(item->cancelled, true))
    return;
  std::erase(waiting_, item);
  if (item->running && item->generation == generation_) {
    --running_;
    StartNext();
  }
}

void sim_target::Crash() {
  down_ = true;
  ++generation_;
  running_ = 0;
  cache_.clear();
  for (const auto& item : std::exchange(waiting_, {}))
    item->on_end(attempt_result::kLost);
}

void sim_target::Restart(std::int64_t started_ms) {
  down_ = false;
  description_.started_ms = started_ms;
}

void sim_target::Start(const work_ptr& item) {
  ++running_;
  item->running = true;
  item->generation = generation_;
  item->cold = !IsCached(item->key_hash);
  std::normal_distribution<double> spread(1, scenario_.work_spread);
  constexpr double kMinFactor = 0.3;
  const double ms = static_cast<double>(item->cold_work.count()) *
                    (item->cold ? 1 : scenario_.warm_work_share) * slowness *
                    std::max(kMinFactor, spread(random_));
  events_.After(std::chrono::duration_cast<duration>(
                    std::chrono::duration<double, std::milli>(ms)),
                [this, item] { End(item); });
}

void sim_target::End(const work_ptr& item) {
  if (item->cancelled)
    return;
  if (item->generation != generation_) {
    item->on_end(attempt_result::kLost);
    return;
  }
  item->running = false;
  --running_;
  AddToCache(item->key_hash);
  item->on_end(RandomFraction() < fail_share ? attempt_result::kTargetError
                                             : attempt_result::kAnswered);
  StartNext();
}

void sim_target::StartNext() {
  if (waiting_.empty() || running_ >= scenario_.slots)
    return;
  const auto next = waiting_.front();
  waiting_.pop_front();
  Start(next);
}

bool sim_target::IsCached(std::uint64_t key_hash) const {
  return std::find(cache_.begin(), cache_.end(), key_hash) != cache_.end();
}

void sim_target::AddToCache(std::uint64_t key_hash) {
  cache_.remove(key_hash);
  cache_.push_front(key_hash);
  if (cache_.size() > scenario_.cached_objects)
    cache_.pop_back();
}

}  // namespace samphire
