#include "routing/target_rank.h"

#include <xxhash.h>

#include <cmath>

#include "membership/rendezvous.h"

namespace samphire {

std::uint64_t KeyHash(std::string_view key) {
  return XXH3_64bits(key.data(), key.size());
}

// Routes number their objects independently, so equal keys of two routes denote
// different objects. If they had the same hash, a target with one of them in
// memory would be assumed to have the other: its callers would wait for a
// request that takes three times as long as estimated, and the objects with one
// number on all routes would accumulate at one target.
std::uint64_t KeyHash(std::string_view route, std::string_view key) {
  return XXH3_64bits_withSeed(key.data(), key.size(), KeyHash(route));
}

double TargetRank(std::uint64_t key_hash,
                  std::string_view target_id,
                  double weight) {
  constexpr double kHashCount = 18446744073709551616.0;
  const auto hash = RendezvousWeight(key_hash, target_id);
  const double uniform = (static_cast<double>(hash) + 1) / (kHashCount + 2);
  return -weight / std::log(uniform);
}

}  // namespace samphire
