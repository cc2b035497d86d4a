#include "gateway/gate_set.h"

#include <utility>

namespace samphire {

gate_set::gate_set(std::string region,
                   std::uint64_t incarnation,
                   const clock_source& clock,
                   service_gate::message_sink sink)
    : region_(std::move(region)),
      shifts_(new shift_account(region_)),
      incarnation_(incarnation),
      clock_(clock),
      sink_(std::move(sink)) {}

// A service that is no longer declared keeps its gate, without targets: running
// requests complete there, and new ones are refused before they reach it.
void gate_set::Follow(const deployment& present) {
  const auto& declared = present.declared();
  std::lock_guard guard(lock_);
  std::map<std::string, gate_ptr> removed = gates_;
  for (const auto& whole : declared.services) {
    removed.erase(whole.name);
    const auto& part = present.PartOf(whole, region_);
    auto& gate = gates_[whole.name];
    if (gate)
      gate->SetService(part, declared.limits);
    else
      gate = new service_gate(part, declared.limits, shifts_, incarnation_,
                              clock_, sink_);
  }
  for (const auto& [name, gate] : removed) {
    service empty;
    empty.name = name;
    gate->SetService(empty, declared.limits);
  }
}

gate_ptr gate_set::Find(const std::string& service) const {
  std::lock_guard guard(lock_);
  const auto found = gates_.find(service);
  return found == gates_.end() ? nullptr : found->second;
}

std::vector<std::pair<std::string, gate_ptr>> gate_set::All() const {
  std::lock_guard guard(lock_);
  return {gates_.begin(), gates_.end()};
}

}  // namespace samphire
