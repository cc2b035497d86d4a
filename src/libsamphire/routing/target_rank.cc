#include "routing/target_rank.h"

#include <xxhash.h>

#include <cmath>

#include "membership/rendezvous.h"

namespace samphire {

std::uint64_t KeyHash(std::string_view key) {
  return XXH3_64bits(key.data(), key.size());
}

// Routes number their objects alike, so equal keys of two routes mean different
// objects. Taken for one, a target that knows the first counts as knowing the
// second: its callers wait for work that takes three times as long as promised,
// and all routes' objects of one number crowd at one target.
std::uint64_t KeyHash(std::string_view route, std::string_view key) {
  return XXH3_64bits_withSeed(key.data(), key.size(), KeyHash(route));
}

double TargetRank(std::uint64_t key_hash,
                  std::string_view target_id,
                  double weight) {
  constexpr double kHashes = 18446744073709551616.0;
  const auto hash = RendezvousWeight(key_hash, target_id);
  const double uniform = (static_cast<double>(hash) + 1) / (kHashes + 2);
  return -weight / std::log(uniform);
}

}  // namespace samphire
