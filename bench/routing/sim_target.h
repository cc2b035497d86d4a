#ifndef ROUTING_SIM_TARGET_H_
#define ROUTING_SIM_TARGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>

#include "decisions/event_queue.h"
#include "routing/attempt_end.h"
#include "routing/live_target.h"
#include "routing/sim_scenario.h"

namespace samphire {

// A simulated target with slots, a queue, and a cache for the most recently
// used objects. Not thread-safe.
class sim_target {
 public:
  struct work {
    std::uint64_t key_hash = 0;
    milliseconds cold_work{0};
    std::function<void(attempt_result)> on_end;
    // The sender cancelled it.
    bool cancelled = false;
    bool running = false;
    // The object was not in memory when the work started.
    bool cold = false;
    // The generation of the process that accepted it.
    std::uint64_t generation = 0;
  };
  using work_ptr = std::shared_ptr<work>;

  sim_target(live_target description,
             const sim_scenario& scenario,
             event_queue& events,
             std::mt19937_64& random);

  const live_target& description() const { return description_; }
  target_report Report() const;

  // Runs, queues or refuses the work, and reports its end by `on_end`.
  void Submit(const work_ptr& item);
  void Cancel(const work_ptr& item);

  // The factor by which work takes longer.
  double slowness = 1;
  // The fraction of requests that are refused regardless of the load.
  double shed_share = 0;
  // The fraction of runs that end with an error.
  double fail_share = 0;
  // Whether connections to the target hang.
  bool powered_off = false;
  void Crash();
  void Restart(std::int64_t started_ms);

 private:
  double RandomFraction();
  void Start(const work_ptr& item);
  void End(const work_ptr& item);
  void StartNext();
  bool IsCached(std::uint64_t key_hash) const;
  void AddToCache(std::uint64_t key_hash);

  live_target description_;
  const sim_scenario& scenario_;
  event_queue& events_;
  std::mt19937_64& random_;
  bool down_ = false;
  std::uint64_t generation_ = 0;
  std::uint32_t running_ = 0;
  std::deque<work_ptr> waiting_;
  // Most recently used first.
  std::list<std::uint64_t> cache_;
};

}  // namespace samphire

#endif  // ROUTING_SIM_TARGET_H_
