#include "fault_schedule.h"

#include <array>
#include <random>

namespace samphire {

namespace {

constexpr std::array kKinds = {
    fault_kind::kKillEntry,    fault_kind::kFreezeEntry,
    fault_kind::kStopEntry,    fault_kind::kPlatformDown,
    fault_kind::kPlatformSlow, fault_kind::kLoseAnswers,
};
constexpr std::size_t kFewestAnswers = 20;
constexpr std::size_t kMostAnswers = 80;

}  // namespace

std::vector<scheduled_fault> DrawFaults(std::uint32_t seed,
                                        std::size_t count,
                                        std::size_t entries) {
  // Not std::uniform_int_distribution, whose draws differ between libraries: a
  // seed in a bug report must mean the same everywhere.
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
         .answers = kFewestAnswers + below(kMostAnswers - kFewestAnswers)});
  }
  return faults;
}

}  // namespace samphire
