#include "ledger/shard_batch.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

namespace samphire {

namespace {

// Bounds on the backoff between attempts, before jitter.
constexpr milliseconds kInitialBackoff{2};
constexpr milliseconds kMaxBackoff{200};

// Returns a random duration between half of `max_backoff` and all of it.
// Without jitter, entries that hit the same conflict or outage would collide
// again on every attempt.
duration WithJitter(duration max_backoff) {
  thread_local std::minstd_rand random{std::random_device{}()};
  std::uniform_int_distribution<duration::rep> pick(max_backoff.count() / 2,
                                                    max_backoff.count());
  return duration(pick(random));
}

}  // namespace

shard_batch::shard_batch(shard_store& store,
                         const ledger_options& options,
                         const clock_source& clock,
                         std::vector<ledger_operation> operations,
                         time_point deadline)
    : store_(store),
      options_(options),
      clock_(clock),
      operations_(std::move(operations)),
      deadline_(deadline) {}

// The limit on attempts protects a shard that many entries write at once:
// beyond it, the batch is refused as not run instead of adding to the
// contention.
std::vector<operation_outcome> shard_batch::Run() {
  for (int attempt = 0; attempt < options_.max_attempts; ++attempt) {
    if (attempt > 0) {
      BackOffBefore(attempt);
      if (clock_.now() >= deadline_)
        break;
    }
    const auto next = Attempt();
    if (next == step::kDone)
      return std::move(outcomes_);
    if (next == step::kAbort)
      break;
  }
  return RefuseAll();
}

shard_batch::step shard_batch::Attempt() {
  if (store_.cached() == nullptr) {
    const auto loaded = store_.Load();
    if (!loaded)
      return HandleFailure(loaded.error());
    read_by_this_batch_ = true;
  }
  return Evaluate();
}

shard_batch::step shard_batch::Evaluate() {
  const auto& cached = *store_.cached();
  const apply_context context{clock_.wall_now(), options_.retention,
                              options_.self, options_.holder_failed};
  ledger_shard next = cached.shard;
  next.Compact(context);
  outcomes_.clear();
  bool changed = false;
  bool needs_fresh_read = false;
  for (const auto& operation : operations_) {
    auto applied = next.Apply(operation, context);
    changed = changed || applied.changed || NeedsFence(operation);
    needs_fresh_read =
        needs_fresh_read || (!applied.changed && !applied.final_outcome);
    outcomes_.push_back(std::move(applied.outcome));
  }
  if (changed)
    return Write(std::move(next));
  // Another entry may have changed the shard since it was last read. A
  // successful write proves that the state it is based on was current; without
  // a write, only a read does. Otherwise a caller might be told "in progress"
  // for a request that was completed long ago.
  if (needs_fresh_read && !read_by_this_batch_) {
    store_.Invalidate();
    const auto loaded = store_.Load();
    if (!loaded)
      return HandleFailure(loaded.error());
    read_by_this_batch_ = true;
    return Evaluate();
  }
  return step::kDone;
}

shard_batch::step shard_batch::Write(ledger_shard next) {
  const auto expected = store_.cached()->version;
  const auto written = store_.Write(std::move(next));
  read_by_this_batch_ = false;
  if (written) {
    // After any successful write, an earlier write conditional on a lower
    // version can't take effect any more.
    uncertain_version_.reset();
    return step::kDone;
  }
  if (written.error().code == result_code::kStoreOutcomeUnknown)
    uncertain_version_ = expected;
  return HandleFailure(written.error());
}

shard_batch::step shard_batch::HandleFailure(const error& failure) {
  failure_ = failure;
  switch (failure.code) {
    case result_code::kStoreConflict:
    case result_code::kStoreOutcomeUnknown:
      return step::kRetry;
    case result_code::kStoreUnreachable:
      // An outage can last for hours, and waiting for its end would block
      // callers and threads. Only a write of unknown outcome justifies another
      // attempt.
      return uncertain_version_ ? step::kRetry : step::kAbort;
    default:
      return step::kAbort;
  }
}

// A write request that timed out can still reach the platform. While the shard
// has the version that the request is conditional on, writing the shard, even
// unchanged, makes the late request fail.
bool shard_batch::NeedsFence(const ledger_operation& operation) const {
  const auto* release = std::get_if<release_operation>(&operation);
  return release != nullptr && release->fence_version &&
         store_.cached()->version <= *release->fence_version;
}

void shard_batch::BackOffBefore(int attempt) {
  const auto max_backoff =
      std::min<duration>(kInitialBackoff * (1 << attempt), kMaxBackoff);
  const auto backoff = WithJitter(max_backoff);
  if (options_.sleep)
    options_.sleep(backoff);
  else
    std::this_thread::sleep_for(backoff);
}

std::vector<operation_outcome> shard_batch::RefuseAll() const {
  const auto code = failure_.code == result_code::kStoreCorrupt
                        ? result_code::kStoreCorrupt
                        : result_code::kLedgerUnavailable;
  return std::vector<operation_outcome>(operations_.size(),
                                        refused{code, failure_.detail});
}

}  // namespace samphire
