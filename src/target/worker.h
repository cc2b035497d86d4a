#ifndef TARGET_WORKER_H_
#define TARGET_WORKER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <utility>

#include "history/history_writer.h"
#include "request_directives.h"
#include "worker_behavior.h"
#include "worker_identity.h"

namespace samphire {

// State of one simulated target: its busy slots, how warm its cache is, and
// whether it is draining or has crashed. Thread-safe. Records the start and end
// of every run in the history, which must outlive it.
class worker {
 public:
  // Why a request was refused: all slots are busy, or the target is draining.
  enum class start_refusal { kNone, kSlotsBusy, kDraining };

  // One request that occupies a slot; none if `refusal` is set.
  struct run {
    std::int64_t number = 0;
    // Generation of the target in which the run started; a crash begins a new
    // one.
    std::uint64_t generation = 0;
    duration service_time{0};
    start_refusal refusal = start_refusal::kNone;
  };

  worker(worker_identity identity,
         worker_behavior behavior,
         history_writer& history,
         std::uint32_t seed);

  // Acquires a slot, or returns the reason for refusal. Each run that got a
  // slot must be passed to EndRun once.
  run Start(const request_directives& directives);
  // Blocks until the run's service time is over and returns true. Returns false
  // as soon as the deadline passes, the target crashes, or
  // `caller_disconnected`, which is polled without the lock, returns true.
  bool WaitForCompletion(const run& run,
                         const request_directives& directives,
                         const std::function<bool()>& caller_disconnected);
  // Releases the slot and records the outcome. `measured_us` is the time at
  // which the content of the response was produced, 0 if there is none.
  void EndRun(const run& run, run_outcome outcome, history_time measured_us);
  // Returns whether the target has crashed since the run started.
  bool Crashed(const run& run) const;

  // Starts or ends a drain as planned by an operator; recorded in the history.
  // A draining target refuses new requests and finishes the running ones.
  void SetDraining(bool draining);
  // Refuses new requests because the process is stopping. Not recorded as a
  // drain, since no operator planned it.
  void StopAccepting();
  // Aborts all runs and empties the cache.
  void Crash();
  // Returns whether it has crashed and not been restarted yet.
  bool down() const;
  // Accepts requests again after a crash.
  void Restart();
  // Returns the load report as JSON. As configured, it may be false or out of
  // date.
  std::string LoadReport();
  // Returns whether no request is running.
  bool idle() const;
  bool draining() const;

  const worker_identity& identity() const { return identity_; }
  const worker_behavior& behavior() const { return behavior_; }

 private:
  // Number of running requests from a point in time on.
  struct load_sample {
    time_point at;
    std::uint32_t in_flight = 0;
  };

  // Appends a load sample and drops outdated ones; requires the lock.
  void RecordLoad();

  const worker_identity identity_;
  const worker_behavior behavior_;
  history_writer& history_;

  mutable std::mutex lock_;
  std::condition_variable crashed_;
  std::mt19937 random_;
  std::uint32_t in_flight_ = 0;
  // Requests started since the last start or crash.
  std::uint64_t served_ = 0;
  std::uint64_t generation_ = 0;
  bool draining_ = false;
  bool down_ = false;
  std::deque<load_sample> load_;
};

}  // namespace samphire

#endif  // TARGET_WORKER_H_
