#include "ledger/pending_settlements.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphire {

namespace {

// Bounds on the backoff between retries of one settlement, before jitter.
constexpr milliseconds kInitialBackoff{50};
constexpr milliseconds kMaxBackoff{5000};
// Limits the shift in NextBackoff; the seventh doubling is the first to exceed
// kMaxBackoff.
constexpr int kMaxBackoffDoublings = 7;

}  // namespace

void pending_settlements::Add(std::uint32_t shard, ledger_operation operation) {
  std::lock_guard guard(lock_);
  items_.push_back({shard, std::move(operation), 0, {}});
}

void pending_settlements::Reschedule(item failed, time_point now) {
  std::lock_guard guard(lock_);
  failed.next_attempt = now + NextBackoff(failed.attempts);
  ++failed.attempts;
  items_.push_back(std::move(failed));
  --taken_count_;
}

std::vector<pending_settlements::item> pending_settlements::TakeDue(
    time_point now) {
  std::lock_guard guard(lock_);
  const auto due = std::stable_partition(
      items_.begin(), items_.end(),
      [now](const item& waiting) { return waiting.next_attempt > now; });
  std::vector<item> taken(std::make_move_iterator(due),
                          std::make_move_iterator(items_.end()));
  items_.erase(due, items_.end());
  taken_count_ += taken.size();
  return taken;
}

std::size_t pending_settlements::size() const {
  std::lock_guard guard(lock_);
  return items_.size() + taken_count_;
}

void pending_settlements::MarkSettled(std::size_t count) {
  std::lock_guard guard(lock_);
  taken_count_ -= count;
}

// After an outage of the platform every entry has settlements to write.
// Exponential backoff limits the number of calls during the outage, jitter
// spreads them when it ends, and the maximum of five seconds bounds how long a
// settlement stays unrecorded after that.
duration pending_settlements::NextBackoff(int attempts) {
  const duration max_backoff = std::min<duration>(
      kInitialBackoff * (1 << std::min(attempts, kMaxBackoffDoublings)),
      kMaxBackoff);
  random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
  const auto half = max_backoff.count() / 2;
  return duration(half + static_cast<duration::rep>(random_ >> 1) % half);
}

}  // namespace samphire
