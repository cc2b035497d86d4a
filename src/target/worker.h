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
#include "request_order.h"
#include "worker_behavior.h"
#include "worker_identity.h"

namespace samphire {

// The state of one stand-in worker: its slots, its cache, whether it leaves.
class worker {
 public:
  enum class start_refusal { kNone, kFull, kLeaving };

  // One request that holds a slot.
  struct run {
    std::int64_t number = 0;
    std::uint64_t life = 0;
    duration service_time{0};
    start_refusal refusal = start_refusal::kNone;
  };

  worker(worker_identity identity,
         worker_behavior behavior,
         history_writer& history,
         std::uint32_t seed);

  // Takes a slot, or says why there is none.
  run Start(const request_order& order);
  // Waits until the run's service time is over; true then. False when `gone`
  // says that the caller left, the deadline passed or the worker crashed.
  bool Work(const run& run,
            const request_order& order,
            const std::function<bool()>& gone);
  void End(const run& run, run_outcome outcome, history_time measured_us);
  // Whether the worker crashed since the run began.
  bool Crashed(const run& run) const;

  void SetLeaving(bool leaving);
  // Takes no new work because its process ends; no operator planned it.
  void Close();
  // All runs are lost and the cache is cold again.
  void Crash();
  // Whether it crashed and has not started again.
  bool down() const;
  void StartAgain();
  // The load report, which may lie and lag.
  std::string LoadReport();
  bool idle() const;
  bool leaving() const;

  const worker_identity& identity() const { return identity_; }
  const worker_behavior& behavior() const { return behavior_; }

 private:
  struct load_sample {
    time_point at;
    std::uint32_t in_flight = 0;
  };

  void RecordLoad();

  const worker_identity identity_;
  const worker_behavior behavior_;
  history_writer& history_;

  mutable std::mutex lock_;
  std::condition_variable crashed_;
  std::mt19937 random_;
  std::uint32_t in_flight_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t life_ = 0;
  bool leaving_ = false;
  bool down_ = false;
  std::deque<load_sample> load_;
};

}  // namespace samphire

#endif  // TARGET_WORKER_H_
