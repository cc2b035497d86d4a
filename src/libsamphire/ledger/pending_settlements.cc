#include "ledger/pending_settlements.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphire {

namespace {

constexpr milliseconds kFirstPause{50};
constexpr milliseconds kLongestPause{5000};
constexpr int kMaxDoublings = 7;

}  // namespace

void pending_settlements::Add(std::uint32_t shard, ledger_operation operation) {
  std::lock_guard guard(lock_);
  items_.push_back({shard, std::move(operation), 0, {}});
}

void pending_settlements::PutBack(item failed, time_point now) {
  std::lock_guard guard(lock_);
  failed.next_try = now + NextPause(failed.tries);
  ++failed.tries;
  items_.push_back(std::move(failed));
  --taken_;
}

std::vector<pending_settlements::item> pending_settlements::TakeDue(
    time_point now) {
  std::lock_guard guard(lock_);
  const auto due = std::stable_partition(
      items_.begin(), items_.end(),
      [now](const item& waiting) { return waiting.next_try > now; });
  std::vector<item> taken(std::make_move_iterator(due),
                          std::make_move_iterator(items_.end()));
  items_.erase(due, items_.end());
  taken_ += taken.size();
  return taken;
}

std::size_t pending_settlements::size() const {
  std::lock_guard guard(lock_);
  return items_.size() + taken_;
}

void pending_settlements::Forget(std::size_t count) {
  std::lock_guard guard(lock_);
  taken_ -= count;
}

// After an outage every entry has something to write. The doubling pause
// keeps the calls few while it lasts, the jitter spreads them when it ends,
// and five seconds bound how long an answered claim stays unrecorded then.
duration pending_settlements::NextPause(int tries) {
  const duration longest = std::min<duration>(
      kFirstPause * (1 << std::min(tries, kMaxDoublings)), kLongestPause);
  random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
  const auto half = longest.count() / 2;
  return duration(half + static_cast<duration::rep>(random_ >> 1) % half);
}

}  // namespace samphire
