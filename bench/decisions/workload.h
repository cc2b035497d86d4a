#ifndef DECISIONS_WORKLOAD_H_
#define DECISIONS_WORKLOAD_H_

#include <functional>
#include <random>

#include "config/service.h"
#include "decisions/event_queue.h"
#include "decisions/scenario.h"
#include "decisions/simulated_request.h"

namespace samphire {

// Makes the requests of a run. They depend on the scenario and its seed alone,
// so every strategy meets the same ones.
class workload {
 public:
  static constexpr std::size_t kEntries = 4;
  static constexpr std::size_t kTargets = 6;
  static constexpr std::size_t kSlotsOfTarget = 4;
  static constexpr std::size_t kSlots = kTargets * kSlotsOfTarget;

  workload(const scenario& input,
           event_queue& events,
           std::function<void(request_ptr)> arrive);

  // Schedules arrivals until the run's end.
  void Start();

  // The simulated service, the same for each strategy.
  static service MakeService();

 private:
  void ScheduleInteractive();
  void ScheduleBulk();
  void ScheduleShifted();
  void Emit(const request_class& rules, bool shifted, duration service);
  duration Gap(double load, duration mean, std::mt19937_64& random) const;
  duration InteractiveService(std::mt19937_64& random) const;
  const request_class& PickClass();

  const scenario& input_;
  event_queue& events_;
  std::function<void(request_ptr)> arrive_;
  service service_;
  time_point end_;
  time_point start_;
  // One stream each, so that adding bulk work doesn't change the readings.
  std::mt19937_64 interactive_random_;
  std::mt19937_64 bulk_random_;
  std::mt19937_64 shift_random_;
  std::uint64_t next_id_ = 1;
};

}  // namespace samphire

#endif  // DECISIONS_WORKLOAD_H_
