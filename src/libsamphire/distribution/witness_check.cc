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

// Retention and sharding of reservations determine whether a repeated claim is
// recognised, just as the class itself does: with a shorter retention a
// duplicate claim could be paid although no class was changed.
bool SameLedgerLimits(const limits& a, const limits& b) {
  return a.ledger_retention == b.ledger_retention &&
         a.ledger_shards == b.ledger_shards;
}

}  // namespace

// Compares the witnessed classes of both declarations: a class can't be altered
// by removing its mark in the same change, nor added without a witness.
std::vector<std::string> WitnessedChanges(const declaration& current,
                                          const declaration& wanted) {
  const auto before = WitnessedOf(current);
  const auto after = WitnessedOf(wanted);
  std::vector<std::string> changed;
  AddDifferences(before, after, changed);
  for (const auto& [name, one] : after) {
    if (!before.contains(name))
      changed.push_back(name);
  }
  if (!before.empty() && !SameLedgerLimits(current.limits, wanted.limits))
    changed.emplace_back("limits/ledger");
  return changed;
}

}  // namespace samphire
