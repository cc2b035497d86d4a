#ifndef TESTS_PROCESS_FAULT_SCHEDULE_H_
#define TESTS_PROCESS_FAULT_SCHEDULE_H_

#include <cstdint>
#include <vector>

namespace samphire {

// A fault that a schedule may bring about.
enum class fault_kind {
  kKillEntry,
  kFreezeEntry,
  kStopEntry,
  kPlatformDown,
  kPlatformSlow,
  kLoseAnswers,
};

// One fault and how long it lasts.
struct scheduled_fault {
  fault_kind kind = fault_kind::kKillEntry;
  std::size_t entry = 0;
  // How many answers callers get before it is mended.
  std::size_t answers = 0;
};

// Faults drawn from a seed: the same seed gives the same ones.
std::vector<scheduled_fault> DrawFaults(std::uint32_t seed,
                                        std::size_t count,
                                        std::size_t entries);

}  // namespace samphire

#endif  // TESTS_PROCESS_FAULT_SCHEDULE_H_
