#include "gateway/deployment.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

const std::string kNoRegion;

// Whether the drain covers target `one` of the service, which lies in `region`.
bool Covers(const drain& each,
            const service& whole,
            const target& one,
            const std::string& region) {
  switch (each.scope) {
    case drain_scope::kTarget:
      return each.subject == whole.name + "/" + one.name;
    case drain_scope::kFailureDomain:
      return each.subject == one.failure_domain;
    case drain_scope::kRegion:
      return each.subject == region;
  }
  return false;
}

}  // namespace

deployment::deployment(samphire::declaration frame,
                       std::uint64_t version,
                       home_region_table_ptr blocks)
    : declared_(std::move(frame)),
      version_(version),
      lookups_(declared_, version, std::move(blocks)) {
  for (const auto& region : declared_.regions) {
    for (const auto& domain : region.failure_domains)
      region_of_domain_[domain] = region.name;
  }
  for (const auto& whole : declared_.services)
    parts_[whole.name] = PartsOf(whole);
}

const service* deployment::FindService(std::string_view name) const {
  const auto found =
      std::find_if(declared_.services.begin(), declared_.services.end(),
                   [name](const auto& each) { return each.name == name; });
  return found == declared_.services.end() ? nullptr : &*found;
}

const std::string& deployment::RegionOfDomain(const std::string& domain) const {
  const auto found = region_of_domain_.find(domain);
  return found == region_of_domain_.end() ? kNoRegion : found->second;
}

deployment::region_parts deployment::PartsOf(const service& whole) const {
  region_parts parts;
  for (const auto& region : declared_.regions) {
    auto& part = parts[region.name];
    part.name = whole.name;
    part.classes = whole.classes;
  }
  for (const auto& each : whole.targets)
    parts[RegionOfDomain(each.failure_domain)].targets.push_back(each);
  return parts;
}

const service& deployment::PartOf(const service& whole,
                                  const std::string& region) const {
  static const service none;
  const auto& parts = parts_.at(whole.name);
  const auto found = parts.find(region);
  return found == parts.end() ? none : found->second;
}

bool deployment::HasOpenTarget(const service& whole,
                               const std::string& region,
                               wall_time now) const {
  const auto& targets = PartOf(whole, region).targets;
  return std::any_of(targets.begin(), targets.end(), [&](const auto& each) {
    return !IsDrained(whole, each, now);
  });
}

std::vector<std::string> deployment::RegionsOf(const service& whole,
                                               std::string_view home) const {
  std::vector<std::string> regions =
      lookups_.order().RegionsByLatencyFrom(home);
  std::erase_if(regions, [&](const auto& region) {
    return PartOf(whole, region).targets.empty();
  });
  return regions;
}

std::set<std::string> deployment::DrainedTargets(const service& whole,
                                                 wall_time now) const {
  std::set<std::string> drained;
  for (const auto& each : whole.targets) {
    if (IsDrained(whole, each, now))
      drained.insert(each.name);
  }
  return drained;
}

// A drain doesn't end by itself: after its deadline the location is being
// worked on, and requests sent there would be cut off. It ends when it is
// removed from the configuration.
bool deployment::IsDrained(const service& whole,
                           const target& each,
                           wall_time now) const {
  const auto& region = RegionOfDomain(each.failure_domain);
  return std::any_of(declared_.drains.begin(), declared_.drains.end(),
                     [&](const auto& planned) {
                       return planned.starts_at <= now &&
                              Covers(planned, whole, each, region);
                     });
}

}  // namespace samphire
