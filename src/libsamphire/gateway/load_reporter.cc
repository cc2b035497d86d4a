#include "gateway/load_reporter.h"

#include <algorithm>
#include <limits>
#include <string>

#include "allowance/loan_metrics.h"
#include "decision/status_metrics.h"

namespace samphire {

namespace {

// Clamps the value to what a service_load can hold.
std::uint16_t SaturateToUint16(std::size_t value) {
  return static_cast<std::uint16_t>(
      std::min<std::size_t>(value, std::numeric_limits<std::uint16_t>::max()));
}

std::size_t QueuedIn(const dispatcher_status& status) {
  std::size_t queued = 0;
  for (const auto& each : status.classes)
    queued += each.queued;
  return queued;
}

}  // namespace

load_reporter::load_reporter(gate_set& gates, metrics& counters)
    : gates_(gates), metrics_(counters) {}

std::vector<service_load> load_reporter::Loads() {
  std::vector<service_load> loads;
  for (const auto& [name, gate] : gates_.All()) {
    const auto status = gate->status();
    loads.push_back({.service_id = ServiceId(name),
                     .free_slots = SaturateToUint16(status.free),
                     .queued = SaturateToUint16(QueuedIn(status))});
  }
  if (loads.size() > kMaxServiceLoads)
    loads.resize(kMaxServiceLoads);
  return loads;
}

void load_reporter::SetGauges() {
  for (const auto& [name, gate] : gates_.All()) {
    PublishStatus(metrics_, name, gate->status());
    PublishLoans(metrics_, name, gate->loans());
  }
}

}  // namespace samphire
