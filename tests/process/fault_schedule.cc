#include "fault_schedule.h"

#include <array>
#include <random>

namespace samphire {

namespace {

constexpr std::array kKinds = {
    fault_kind::kKillEntry,    fault_kind::kFreezeEntry,
    fault_kind::kStopEntry,    fault_kind::kPlatformDown,
    fault_kind::kPlatformSlow, fault_kind::kLoseResponses,
};
// Range of a fault's length, as a number of responses; the maximum is excluded.
constexpr std::size_t kMinResponses = 20;
constexpr std::size_t kMaxResponses = 80;

}  // namespace

std::vector<scheduled_fault> GenerateFaults(std::uint32_t seed,
                                            std::size_t count,
                                            std::size_t entries) {
  // std::uniform_int_distribution is not used because its results differ
  // between standard libraries: a seed from a bug report must reproduce the
  // same faults everywhere.
  std::mt19937 random(seed);
  const auto below = [&](std::size_t bound) { return random() % bound; };
  std::vector<scheduled_fault> faults;
  faults.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const auto kind = kKinds[below(kKinds.size())];
    const auto entry = below(entries);
    faults.push_back(
        {.kind = kind,
         .entry = entry,
         .responses = kMinResponses + below(kMaxResponses - kMinResponses)});
  }
  return faults;
}

}  // namespace samphire
