#ifndef SUPPORT_SMALL_SERVICE_H_
#define SUPPORT_SMALL_SERVICE_H_

#include <string>
#include <vector>

#include "config/limits.h"
#include "config/service.h"
#include "decision/service_dispatcher.h"

namespace samphire {

// Returns a service of `targets` targets (t0, t1, ...) with `slots` slots each,
// alternating between failure domains d0 and d1. Its request classes are
// "reading" (interactive, normal priority), "alarm" (high priority), "overlay"
// (low priority), "claim" (not repeatable) and "archive" (bulk).
service SmallService(std::uint32_t targets, std::uint32_t slots);

// Returns all slots of the service, as owned slots per target.
std::vector<owned_slots> AllSlots(const service& declared);

// A dispatcher in region "home" that owns every slot of a small service, with a
// simulated time `now` that the test advances. Not thread-safe.
class dispatcher_fixture {
 public:
  dispatcher_fixture(std::uint32_t targets,
                     std::uint32_t slots,
                     const limits& bounds = {},
                     std::uint64_t seed = 1);

  // Submits a request of a class whose deadline is `time` from now and whose
  // home region is `home`. The class must exist.
  admission_decision Submit(const std::string& class_name,
                            milliseconds time,
                            const std::string& home = "home");
  admission_decision Submit(const admission_request& request);
  // Submits a request that must be granted a slot at once; throws otherwise.
  slot_grant Grant(const std::string& class_name = "reading",
                   milliseconds time = milliseconds(1000));
  // Ends a granted attempt and returns the queued requests to wake up.
  std::vector<wakeup> Finish(const slot_grant& grant,
                             milliseconds latency = milliseconds(50),
                             attempt_outcome outcome = attempt_outcome::kOk);
  // Runs `count` requests one after the other on free slots, each for
  // `latency`.
  void Run(int count, milliseconds latency = milliseconds(50));

  // Returns a request with a new id, for a caller in region "home".
  admission_request Request(const std::string& class_name, milliseconds time);
  // Throws std::invalid_argument if the service has no such class.
  const request_class& Class(const std::string& name) const;

  service declared;
  time_point now{std::chrono::hours(1)};
  service_dispatcher slots;

 private:
  std::uint64_t next_id_ = 1;
};

// Returns the result code of a refusal; kOk for any other decision.
result_code RefusalOf(const admission_decision& decision);

}  // namespace samphire

#endif  // SUPPORT_SMALL_SERVICE_H_
