#include "routing/target_rank.h"

#include <xxhash.h>

#include <cmath>

namespace samphire {

std::uint64_t KeyHash(std::string_view key) {
  return XXH3_64bits(key.data(), key.size());
}

double TargetRank(std::uint64_t key_hash,
                  std::string_view target_id,
                  double weight) {
  constexpr double kHashes = 18446744073709551616.0;
  const auto hash =
      XXH3_64bits_withSeed(target_id.data(), target_id.size(), key_hash);
  const double uniform = (static_cast<double>(hash) + 1) / (kHashes + 2);
  return -weight / std::log(uniform);
}

}  // namespace samphire
