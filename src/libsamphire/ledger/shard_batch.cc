#include "ledger/shard_batch.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

namespace samphire {

namespace {

constexpr milliseconds kFirstPause{2};
constexpr milliseconds kLongestPause{200};

// Half to the whole of `longest`: several entries that met in a conflict or
// an outage would otherwise meet again at every try.
duration Jittered(duration longest) {
  thread_local std::minstd_rand random{std::random_device{}()};
  std::uniform_int_distribution<duration::rep> pick(longest.count() / 2,
                                                    longest.count());
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

// The limit on tries is for a shard that many entries write at once: beyond
// it the batch is refused as not run rather than adding to the contention.
std::vector<operation_outcome> shard_batch::Run() {
  for (int attempt = 0; attempt < options_.max_attempts; ++attempt) {
    if (attempt > 0) {
      PauseBefore(attempt);
      if (clock_.now() >= deadline_)
        break;
    }
    const auto next = Try();
    if (next == step::kDone)
      return std::move(outcomes_);
    if (next == step::kGiveUp)
      break;
  }
  return Refusals();
}

shard_batch::step shard_batch::Try() {
  if (store_.known() == nullptr) {
    const auto loaded = store_.Load();
    if (!loaded)
      return Fail(loaded.error());
    fresh_ = true;
  }
  return Judge();
}

shard_batch::step shard_batch::Judge() {
  const auto& known = *store_.known();
  const judge_context context{clock_.wall_now(), options_.retention,
                              options_.self, options_.holder_gone};
  ledger_shard next = known.shard;
  next.Compact(context);
  outcomes_.clear();
  bool changed = false;
  bool stale = false;
  for (const auto& operation : operations_) {
    auto judged = next.Apply(operation, context);
    changed = changed || judged.changed || NeedsFence(operation);
    stale = stale || (!judged.changed && !judged.final_outcome);
    outcomes_.push_back(std::move(judged.outcome));
  }
  if (changed)
    return Write(std::move(next));
  // Another entry may have changed the shard since this one last read it. A
  // write proves the state it was judged on; without a write only a read does.
  // Otherwise a caller would be sent away for work that has long been done.
  if (stale && !fresh_) {
    store_.Forget();
    const auto loaded = store_.Load();
    if (!loaded)
      return Fail(loaded.error());
    fresh_ = true;
    return Judge();
  }
  return step::kDone;
}

shard_batch::step shard_batch::Write(ledger_shard next) {
  const auto expected = store_.known()->version;
  const auto written = store_.Write(std::move(next));
  fresh_ = false;
  if (written) {
    // Any write ends the chance of an earlier one at a lower version.
    uncertain_version_.reset();
    return step::kDone;
  }
  if (written.error().code == result_code::kStoreOutcomeUnknown)
    uncertain_version_ = expected;
  return Fail(written.error());
}

shard_batch::step shard_batch::Fail(const error& failure) {
  failure_ = failure;
  switch (failure.code) {
    case result_code::kStoreConflict:
    case result_code::kStoreOutcomeUnknown:
      return step::kAgain;
    case result_code::kStoreUnreachable:
      // An outage can last for hours: waiting in it would hold callers and
      // threads for nothing. Only an open question is worth asking again.
      return uncertain_version_ ? step::kAgain : step::kGiveUp;
    default:
      return step::kGiveUp;
  }
}

// A lost request can still arrive, until something else is written: while the
// shard has the version it asks for, an empty write shuts it out.
bool shard_batch::NeedsFence(const ledger_operation& operation) const {
  const auto* release = std::get_if<release_operation>(&operation);
  return release != nullptr && release->fence_version &&
         store_.known()->version <= *release->fence_version;
}

void shard_batch::PauseBefore(int attempt) {
  const auto longest =
      std::min<duration>(kFirstPause * (1 << attempt), kLongestPause);
  const auto pause = Jittered(longest);
  if (options_.sleep)
    options_.sleep(pause);
  else
    std::this_thread::sleep_for(pause);
}

std::vector<operation_outcome> shard_batch::Refusals() const {
  const auto code = failure_.code == result_code::kStoreCorrupt
                        ? result_code::kStoreCorrupt
                        : result_code::kLedgerUnavailable;
  return std::vector<operation_outcome>(operations_.size(),
                                        refused{code, failure_.detail});
}

}  // namespace samphire
