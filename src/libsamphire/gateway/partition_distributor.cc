#include "gateway/partition_distributor.h"

#include <algorithm>
#include <utility>

#include "allowance/partition_slot_map.h"

namespace samphire {

namespace {

// Returns the number of slot partitions of the region, or 0 if it isn't
// declared.
std::uint32_t PartitionCountOf(const declaration& declared,
                               const std::string& name) {
  const auto found =
      std::find_if(declared.regions.begin(), declared.regions.end(),
                   [&](const auto& each) { return each.name == name; });
  return found == declared.regions.end() ? 0 : found->partition_count;
}

// Returns the caps on what other regions may shift to this one. Where none is
// declared, nothing may be shifted: if operators forgot a pair of regions, they
// should notice refusals during a fault rather than a region overloaded by
// another region's traffic.
std::vector<shift_cap> CapsTo(const declaration& declared,
                              const std::string& region) {
  std::vector<shift_cap> caps;
  for (const auto& other : declared.regions) {
    const auto found =
        std::find_if(declared.shift_caps.begin(), declared.shift_caps.end(),
                     [&](const auto& cap) {
                       return cap.from == other.name && cap.to == region;
                     });
    if (found != declared.shift_caps.end())
      caps.push_back(*found);
    else if (other.name != region)
      caps.push_back({.from = other.name, .to = region});
  }
  return caps;
}

// Returns the slots of each target that belong to the partitions.
std::vector<owned_slots> SlotsOf(const service& part,
                                 const std::vector<std::uint32_t>& partitions,
                                 std::uint32_t partition_count) {
  const auto counts =
      SlotsOfPartitions(part.name, part.targets, partitions, partition_count);
  std::vector<owned_slots> owned;
  for (std::size_t i = 0; i < part.targets.size(); ++i)
    owned.push_back({part.targets[i].name, counts[i]});
  return owned;
}

}  // namespace

partition_distributor::partition_distributor(std::string region,
                                             gate_set& gates,
                                             const clock_source& clock,
                                             metrics& counters)
    : region_(std::move(region)),
      gates_(gates),
      clock_(clock),
      metrics_(counters) {}

void partition_distributor::Follow(const deployment_ptr& present) {
  std::lock_guard guard(lock_);
  present_ = present;
  UpdateGates();
}

void partition_distributor::OnUsablePartitions(
    const std::vector<std::uint32_t>& usable) {
  std::lock_guard guard(lock_);
  partitions_ = usable;
  metrics_.Set("seats", "", static_cast<double>(usable.size()));
  UpdateGates();
}

void partition_distributor::UpdateGates() {
  if (!present_)
    return;
  const auto& declared = present_->declared();
  const auto partition_count = PartitionCountOf(declared, region_);
  const auto caps = CapsTo(declared, region_);
  gates_.shifts().SetCaps(caps, {partitions_, partition_count});
  for (const auto& whole : declared.services) {
    const auto gate = gates_.Find(whole.name);
    if (!gate)
      continue;
    gate->SetOwnedSlots(SlotsOf(present_->PartOf(whole, region_),
                                PartitionsFor(whole), partition_count));
  }
}

// The partitions of an entry that was killed are subject to a takeover delay,
// since its work may still be running. A single delay for all services, by the
// longest deadline of any class, kept a quarter of a region's slots idle for
// five minutes because of one class of downloads. The slots of one service are
// free of the former owner's work as soon as that service's own longest
// deadline, the loan time to live and the clock drift have passed.
std::vector<std::uint32_t> partition_distributor::PartitionsFor(
    const service& whole) const {
  const auto& bounds = present_->declared().limits;
  milliseconds longest{0};
  for (const auto& each : whole.classes)
    longest = std::max({longest, each.deadline, each.max_deadline});
  const auto wait = longest + bounds.loan_ttl + bounds.clock_drift;
  const auto now = clock_.now();
  auto partitions = partitions_;
  for (const auto& each : takeovers_) {
    if (now - each.since >= wait)
      partitions.push_back(each.number);
  }
  return partitions;
}

void partition_distributor::OnPartitionTakeovers(
    const std::vector<partition_takeover>& takeovers) {
  std::lock_guard guard(lock_);
  takeovers_ = takeovers;
  UpdateGates();
}

void partition_distributor::Tick() {
  std::lock_guard guard(lock_);
  if (!takeovers_.empty())
    UpdateGates();
}

// Running work isn't attributed to partitions, so a partition counts as idle
// when no gate has more work than the remaining slots allow and the shifts from
// other regions are within the remaining caps: possibly later than necessary,
// but never too early.
bool partition_distributor::IsIdle(std::uint32_t /*partition*/) {
  if (gates_.shifts().IsOverLimit(clock_.now()))
    return false;
  const auto gates = gates_.All();
  return std::all_of(gates.begin(), gates.end(), [](const auto& each) {
    return each.second->excess_slot_count() == 0;
  });
}

std::vector<std::uint32_t> partition_distributor::partitions() const {
  std::lock_guard guard(lock_);
  return partitions_;
}

}  // namespace samphire
