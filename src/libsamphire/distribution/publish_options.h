#ifndef DISTRIBUTION_PUBLISH_OPTIONS_H_
#define DISTRIBUTION_PUBLISH_OPTIONS_H_

#include <cstdint>
#include <functional>

namespace samphire {

// How a publisher goes about its writes.
struct publish_options {
  // How many versions' chunks are kept, so that an entry that is loading one
  // while others follow on it can finish: at a change every 4 s, two minutes.
  std::uint64_t retained = 32;
  // How often a write of unknown outcome is read back or tried again.
  int attempts = 8;
  // Waits before attempt `n`; backs off with jitter.
  std::function<void(int n)> pause;
  // A number that no other attempt in the fleet has.
  std::function<std::uint64_t()> nonce;
};

// Waits with jittered back-off, and numbers from the machine's random source.
publish_options DefaultPublishOptions();

}  // namespace samphire

#endif  // DISTRIBUTION_PUBLISH_OPTIONS_H_
