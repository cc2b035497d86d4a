#ifndef ROUTING_TRAFFIC_MANIFEST_H_
#define ROUTING_TRAFFIC_MANIFEST_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/route_table.h"
#include "routing/traffic_limits.h"
#include "routing/traffic_service.h"
#include "routing/traffic_team.h"

namespace samphire {

// One version of the operator's configuration, indexed for lookups by request.
// Immutable, and therefore safe to use from any thread.
class traffic_manifest
    : public boost::intrusive_ref_counter<traffic_manifest,
                                          boost::thread_safe_counter> {
 public:
  traffic_manifest(std::uint64_t version,
                   traffic_limits limits,
                   route_table routes,
                   std::vector<traffic_service> services,
                   std::vector<traffic_team> teams = {});
  std::uint64_t version() const { return version_; }
  const traffic_limits& limits() const { return limits_; }
  const route_table& routes() const { return routes_; }

  // Returns the route of `host` with the longest prefix of `path`, or null if
  // there is none. Ignores a port in `host` and a query in `path`.
  const traffic_route* FindRoute(std::string_view host,
                                 std::string_view path) const {
    return routes_.Find(host, path);
  }
  // Returns null if the manifest does not declare the service.
  const traffic_service* FindService(std::string_view name) const;
  // Returns whether requests need an API key, except on routes that allow
  // anonymous ones.
  bool has_teams() const { return !teams_.empty(); }
  // Returns the sum of all teams' rate limits in requests per second.
  double total_team_rate() const { return total_team_rate_; }
  // Returns null if the manifest does not contain the team.
  const traffic_team* FindTeam(std::string_view name) const;
  // Returns the team that `api_key` belongs to, or null.
  const traffic_team* FindTeamByApiKey(const std::string& api_key) const;

 private:
  std::uint64_t version_;
  traffic_limits limits_;
  route_table routes_;
  std::map<std::string, traffic_service, std::less<>> services_;
  std::vector<traffic_team> teams_;
  double total_team_rate_ = 0;
  // Maps names and API keys to indices into `teams_`.
  std::map<std::string, std::size_t, std::less<>> teams_by_name_;
  std::unordered_map<std::string, std::size_t> teams_by_key_;
};

using manifest_ptr = boost::intrusive_ptr<const traffic_manifest>;

}  // namespace samphire

#endif  // ROUTING_TRAFFIC_MANIFEST_H_
