#include "routing/traffic_manifest.h"

#include <utility>

namespace samphire {

traffic_manifest::traffic_manifest(std::uint64_t version,
                                   traffic_limits limits,
                                   route_table routes,
                                   std::vector<traffic_service> services,
                                   std::vector<traffic_team> teams)
    : version_(version),
      limits_(limits),
      routes_(std::move(routes)),
      teams_(std::move(teams)) {
  for (auto& service : services) {
    const auto name = service.name;
    services_.insert_or_assign(name, std::move(service));
  }
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    teams_by_name_.emplace(teams_[i].name, i);
    total_team_rate_ += teams_[i].limit.rate;
    for (const auto& key : teams_[i].api_keys)
      teams_by_key_.emplace(key, i);
  }
}

const traffic_service* traffic_manifest::FindService(
    std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

const traffic_team* traffic_manifest::FindTeam(std::string_view name) const {
  const auto found = teams_by_name_.find(name);
  return found == teams_by_name_.end() ? nullptr : &teams_[found->second];
}

const traffic_team* traffic_manifest::FindTeamByApiKey(
    const std::string& api_key) const {
  const auto found = teams_by_key_.find(api_key);
  return found == teams_by_key_.end() ? nullptr : &teams_[found->second];
}

}  // namespace samphire
