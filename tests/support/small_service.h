#ifndef SUPPORT_SMALL_SERVICE_H_
#define SUPPORT_SMALL_SERVICE_H_

#include <string>
#include <vector>

#include "config/limits.h"
#include "config/service.h"
#include "decision/service_dispatcher.h"

namespace samphire {

// A service of `targets` targets (t0, t1, ...) in failure domains d0 and d1 in
// turn, with classes "reading" (interactive), "alarm" (high priority),
// "overlay" (low), "claim" (not repeatable) and "archive" (bulk).
service SmallService(std::uint32_t targets, std::uint32_t slots);

// Every slot of the service.
std::vector<owned_slots> AllSlots(const service& declared);

// One dispatcher in region "home" that owns every slot, with its own time.
class dispatcher_fixture {
 public:
  dispatcher_fixture(std::uint32_t targets,
                     std::uint32_t slots,
                     const limits& bounds = {},
                     std::uint64_t seed = 1);

  // Submits a request with this much time.
  admission_decision Ask(const std::string& class_name,
                         milliseconds time,
                         const std::string& home = "home");
  admission_decision Ask(const admission_request& request);
  // Submits and expects a slot at once.
  slot_grant Grant(const std::string& class_name = "reading",
                   milliseconds time = milliseconds(1000));
  std::vector<wakeup> Finish(const slot_grant& grant,
                             milliseconds latency = milliseconds(50),
                             attempt_outcome outcome = attempt_outcome::kOk);
  // Runs one request after the other on free slots, each taking `latency`.
  void Run(int count, milliseconds latency = milliseconds(50));

  admission_request Request(const std::string& class_name, milliseconds time);
  const request_class& Class(const std::string& name) const;

  service declared;
  time_point now{std::chrono::hours(1)};
  service_dispatcher slots;

 private:
  std::uint64_t next_id_ = 1;
};

// The code of a refusal, or kOk.
result_code RefusalOf(const admission_decision& decision);

}  // namespace samphire

#endif  // SUPPORT_SMALL_SERVICE_H_
