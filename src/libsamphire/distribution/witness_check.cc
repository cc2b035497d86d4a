#include "distribution/witness_check.h"

#include <map>

namespace samphire {

namespace {

using witnessed_classes = std::map<std::string, request_class>;

witnessed_classes WitnessedOf(const declaration& declared) {
  witnessed_classes found;
  for (const auto& one : declared.services) {
    for (const auto& candidate : one.classes) {
      if (candidate.witnessed)
        found.emplace(one.name + '/' + candidate.name, candidate);
    }
  }
  return found;
}

void AddDifferences(const witnessed_classes& from,
                    const witnessed_classes& to,
                    std::vector<std::string>& changed) {
  for (const auto& [name, one] : from) {
    const auto found = to.find(name);
    if (found == to.end() || found->second != one)
      changed.push_back(name);
  }
}

// How long and where reservations are kept decides whether a repeat of a
// claim is recognised, just as the class itself does: a shorter retention
// would let a doubled claim be paid although no class was touched.
bool SameLedgerLimits(const limits& a, const limits& b) {
  return a.ledger_retention == b.ledger_retention &&
         a.ledger_shards == b.ledger_shards;
}

}  // namespace

// Judged by the old and the new declaration alike: a class can't be altered by
// taking its mark away in the same change, nor slip in unseen.
std::vector<std::string> WitnessedChanges(const declaration& present,
                                          const declaration& wanted) {
  const auto before = WitnessedOf(present);
  const auto after = WitnessedOf(wanted);
  std::vector<std::string> changed;
  AddDifferences(before, after, changed);
  for (const auto& [name, one] : after) {
    if (!before.contains(name))
      changed.push_back(name);
  }
  if (!before.empty() && !SameLedgerLimits(present.limits, wanted.limits))
    changed.emplace_back("limits/ledger");
  return changed;
}

}  // namespace samphire
