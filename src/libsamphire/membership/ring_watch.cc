#include "membership/ring_watch.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace samphire {

namespace {

// Growth of the steps of a sweep. With four, a sweep of 120 members takes four
// steps; and when a single ping is lost, four more members are pinged.
constexpr std::size_t kStepGrowth = 4;

std::uint64_t RingPosition(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace

ring_watch::ring_watch(const membership_options& options,
                       time_point first_sweep)
    : options_(options), next_sweep_(first_sweep), next_step_(first_sweep) {}

std::vector<std::string> ring_watch::Tick(const membership_table& table,
                                          const std::set<std::string>& doubtful,
                                          time_point now) {
  if (sweeping_ && now >= next_step_)
    return NextStep(now);
  if (now < next_sweep_)
    return {};
  next_sweep_ = std::max(next_sweep_ + options_.watch_interval, now);
  // A sweep that nobody has responded to yet goes on.
  if (sweeping_)
    return {};
  StartSweep(table, doubtful);
  return NextStep(now);
}

// Members that are close by name are often lost together, as those of one
// failure domain. The order by hash spreads them, which keeps sweeps short.
void ring_watch::StartSweep(const membership_table& table,
                            const std::set<std::string>& doubtful) {
  const auto self = RingPosition(table.self().name);
  std::vector<std::pair<std::uint64_t, std::string>> ring;
  for (auto& name : table.AliveMembers()) {
    // The distance from this entry along the ring.
    if (name != table.self().name && !doubtful.contains(name))
      ring.emplace_back(RingPosition(name) - self, std::move(name));
  }
  std::ranges::sort(ring, std::greater<>());
  remaining_.clear();
  for (auto& [distance, name] : ring)
    remaining_.push_back(std::move(name));
  pinged_.clear();
  step_size_ = 1;
  sweeping_ = true;
}

std::vector<std::string> ring_watch::NextStep(time_point now) {
  std::vector<std::string> step;
  while (step.size() < step_size_ && !remaining_.empty()) {
    pinged_.insert(remaining_.back());
    step.push_back(std::move(remaining_.back()));
    remaining_.pop_back();
  }
  step_size_ *= kStepGrowth;
  next_step_ = now + options_.direct_probe_timeout;
  if (step.empty())
    sweeping_ = false;
  return step;
}

void ring_watch::OnHeard(const std::string& name) {
  if (pinged_.contains(name))
    sweeping_ = false;
}

void ring_watch::Reset(time_point now) {
  next_sweep_ = now;
  sweeping_ = false;
  pinged_.clear();
}

}  // namespace samphire
