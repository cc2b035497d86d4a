#include "gateway/seat_share.h"

#include <algorithm>
#include <utility>

#include "allowance/partition_slot_map.h"

namespace samphire {

namespace {

std::uint32_t SeatCountOf(const declaration& declared,
                          const std::string& name) {
  const auto found =
      std::find_if(declared.regions.begin(), declared.regions.end(),
                   [&](const auto& each) { return each.name == name; });
  return found == declared.regions.end() ? 0 : found->partition_count;
}

// The caps on what other regions may shift here. Where none is declared nothing
// may: operators who forgot a pair of regions notice refusals in a fault, not a
// region that drowned in another's load.
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

std::vector<owned_slots> SlotsOf(const service& part,
                                 const std::vector<std::uint32_t>& seats,
                                 std::uint32_t seat_count) {
  const auto counts =
      SlotsOfPartitions(part.name, part.targets, seats, seat_count);
  std::vector<owned_slots> owned;
  for (std::size_t i = 0; i < part.targets.size(); ++i)
    owned.push_back({part.targets[i].name, counts[i]});
  return owned;
}

}  // namespace

seat_share::seat_share(std::string region,
                       gate_set& gates,
                       const clock_source& clock,
                       metrics& counters)
    : region_(std::move(region)),
      gates_(gates),
      clock_(clock),
      metrics_(counters) {}

void seat_share::Follow(const deployment_ptr& present) {
  std::lock_guard guard(lock_);
  present_ = present;
  Share();
}

void seat_share::OnUsablePartitions(const std::vector<std::uint32_t>& usable) {
  std::lock_guard guard(lock_);
  seats_ = usable;
  metrics_.Set("seats", "", static_cast<double>(usable.size()));
  Share();
}

void seat_share::Share() {
  if (!present_)
    return;
  const auto& declared = present_->declared();
  const auto seat_count = SeatCountOf(declared, region_);
  const auto caps = CapsTo(declared, region_);
  gates_.shifts().SetCaps(caps, {seats_, seat_count});
  for (const auto& whole : declared.services) {
    const auto gate = gates_.Find(whole.name);
    if (!gate)
      continue;
    gate->SetOwnedSlots(
        SlotsOf(present_->PartOf(whole, region_), SeatsFor(whole), seat_count));
  }
}

// A killed entry's seats wait, since its work may run on. One wait for all, by
// the longest deadline of any class, kept a quarter of a region's slots idle
// for five minutes because of one class of downloads. A service's slots are
// free of its predecessor's work when that service's own longest deadline has
// passed.
std::vector<std::uint32_t> seat_share::SeatsFor(const service& whole) const {
  const auto& bounds = present_->declared().limits;
  milliseconds longest{0};
  for (const auto& each : whole.classes)
    longest = std::max({longest, each.deadline, each.max_deadline});
  const auto wait = longest + bounds.loan_ttl + bounds.clock_drift;
  const auto now = clock_.now();
  auto seats = seats_;
  for (const auto& each : waiting_) {
    if (now - each.since >= wait)
      seats.push_back(each.number);
  }
  return seats;
}

void seat_share::OnPartitionTakeovers(
    const std::vector<partition_takeover>& waiting) {
  std::lock_guard guard(lock_);
  waiting_ = waiting;
  Share();
}

void seat_share::Tick() {
  std::lock_guard guard(lock_);
  if (!waiting_.empty())
    Share();
}

// Work is not told apart by seat, so a seat counts as idle when nothing at all
// runs beyond the slots that are left: a little later than need be, but never
// too early.
bool seat_share::IsIdle(std::uint32_t /*seat*/) {
  if (gates_.shifts().IsOverLimit(clock_.now()))
    return false;
  const auto gates = gates_.All();
  return std::all_of(gates.begin(), gates.end(), [](const auto& each) {
    return each.second->over_owned() == 0;
  });
}

std::vector<std::uint32_t> seat_share::seats() const {
  std::lock_guard guard(lock_);
  return seats_;
}

}  // namespace samphire
