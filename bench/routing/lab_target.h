#ifndef ROUTING_LAB_TARGET_H_
#define ROUTING_LAB_TARGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>

#include "decisions/event_queue.h"
#include "routing/attempt_end.h"
#include "routing/lab_scenario.h"
#include "routing/live_target.h"

namespace samphire {

// A simulated target: slots, a queue, and a memory for the objects that it
// served last.
class lab_target {
 public:
  struct work {
    std::uint64_t key_hash = 0;
    milliseconds cold_work{0};
    std::function<void(attempt_result)> on_end;
    // The sender has given up.
    bool cancelled = false;
    bool running = false;
    // The object was not in memory when it was begun.
    bool cold = false;
    // Of the process that took it.
    std::uint64_t life = 0;
  };
  using work_ptr = std::shared_ptr<work>;

  lab_target(live_target description,
             const lab_scenario& scenario,
             event_queue& events,
             std::mt19937_64& random);

  const live_target& description() const { return description_; }
  target_report Report() const;

  void Submit(const work_ptr& item);
  void Cancel(const work_ptr& item);

  // Takes this many times as long.
  double slowness = 1;
  // The part of requests that are refused for no reason.
  double shed_share = 0;
  // The part of runs that end with a failure.
  double fail_share = 0;
  // Connections to it hang.
  bool dark = false;
  void Crash();
  void ComeBack(std::int64_t started_ms);

 private:
  double Part();
  void Start(const work_ptr& item);
  void End(const work_ptr& item);
  void StartNext();
  bool Remembers(std::uint64_t key_hash) const;
  void Remember(std::uint64_t key_hash);

  live_target description_;
  const lab_scenario& scenario_;
  event_queue& events_;
  std::mt19937_64& random_;
  bool down_ = false;
  std::uint64_t life_ = 0;
  std::uint32_t running_ = 0;
  std::deque<work_ptr> waiting_;
  // The object used last is in front.
  std::list<std::uint64_t> memory_;
};

}  // namespace samphire

#endif  // ROUTING_LAB_TARGET_H_
