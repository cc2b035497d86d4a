#ifndef DISTRIBUTION_PUBLISH_OPTIONS_H_
#define DISTRIBUTION_PUBLISH_OPTIONS_H_

#include <cstdint>
#include <functional>

namespace samphire {

// Retention and retry policy of a publisher.
struct publish_options {
  // Number of versions whose chunks are retained, so that an entry that is
  // loading one while newer ones follow can finish: at a change every 4 s, two
  // minutes.
  std::uint64_t retained = 32;
  // Number of attempts for a write that failed or whose outcome is unknown.
  int attempts = 8;
  // Blocks after failed attempt `n` (counted from 0), with exponential backoff
  // and jitter.
  std::function<void(int n)> pause;
  // Returns a number that no other attempt in the fleet uses.
  std::function<std::uint64_t()> nonce;
};

// Returns options with a jittered backoff, and with numbers from the machine's
// random source.
publish_options DefaultPublishOptions();

}  // namespace samphire

#endif  // DISTRIBUTION_PUBLISH_OPTIONS_H_
