#ifndef TESTS_PROCESS_FAULT_SCHEDULE_H_
#define TESTS_PROCESS_FAULT_SCHEDULE_H_

#include <cstdint>
#include <vector>

namespace samphire {

// Kinds of faults in a schedule: of one entry (killed, frozen, stopped as
// planned) or of the platform (unreachable, slow, responses lost).
enum class fault_kind {
  kKillEntry,
  kFreezeEntry,
  kStopEntry,
  kPlatformDown,
  kPlatformSlow,
  kLoseResponses,
};

// One fault and its length.
struct scheduled_fault {
  fault_kind kind = fault_kind::kKillEntry;
  // Index of the affected entry; unused for faults of the platform.
  std::size_t entry = 0;
  // The fault is cleared after callers have received this many further complete
  // responses.
  std::size_t responses = 0;
};

// Generates `count` random faults for a fleet of `entries` entries. The same
// seed gives the same faults on every platform.
std::vector<scheduled_fault> GenerateFaults(std::uint32_t seed,
                                            std::size_t count,
                                            std::size_t entries);

}  // namespace samphire

#endif  // TESTS_PROCESS_FAULT_SCHEDULE_H_
