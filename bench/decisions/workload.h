#ifndef DECISIONS_WORKLOAD_H_
#define DECISIONS_WORKLOAD_H_

#include <functional>
#include <random>

#include "config/service.h"
#include "decisions/event_queue.h"
#include "decisions/scenario.h"
#include "decisions/simulated_request.h"

namespace samphire {

// Generates the requests of a run as Poisson arrivals. They depend on the
// scenario and its seed alone, so every strategy gets the same requests.
// Single-threaded, driven by the event queue. Keeps references to the scenario
// and the queue; the requests point to classes that it owns.
class workload {
 public:
  static constexpr std::size_t kEntries = 4;
  static constexpr std::size_t kTargets = 6;
  static constexpr std::size_t kSlotsPerTarget = 4;
  static constexpr std::size_t kSlots = kTargets * kSlotsPerTarget;

  // Calls `arrive` for each request at its arrival time.
  workload(const scenario& input,
           event_queue& events,
           std::function<void(request_ptr)> arrive);

  // Schedules arrivals from now until the end of the run.
  void Start();

  // The simulated service with its classes and targets, the same for each
  // strategy.
  static service MakeService();

 private:
  void ScheduleInteractive();
  void ScheduleBulk();
  void ScheduleShifted();
  void EmitRequest(const request_class& rules,
                   bool shifted,
                   duration slot_time);
  // Draws the time to the next arrival for a load and a mean slot time.
  duration NextGap(double load, duration mean, std::mt19937_64& random) const;
  duration InteractiveSlotTime(std::mt19937_64& random) const;
  const request_class& PickClass();

  const scenario& input_;
  event_queue& events_;
  std::function<void(request_ptr)> arrive_;
  service service_;
  time_point end_;
  time_point start_;
  // One random stream for each kind of request, so that adding bulk or shifted
  // work leaves the interactive requests as they are.
  std::mt19937_64 interactive_random_;
  std::mt19937_64 bulk_random_;
  std::mt19937_64 shift_random_;
  std::uint64_t next_id_ = 1;
};

}  // namespace samphire

#endif  // DECISIONS_WORKLOAD_H_
