#include "routing/traffic_manifest.h"

#include <utility>

namespace samphire {

traffic_manifest::traffic_manifest(std::uint64_t version,
                                   traffic_limits limits,
                                   std::vector<traffic_route> routes,
                                   std::vector<traffic_service> services)
    : version_(version), limits_(limits), route_count_(routes.size()) {
  for (auto& route : routes) {
    auto& prefixes = hosts_[route.host];
    const auto prefix = route.path_prefix;
    prefixes.insert_or_assign(prefix, std::move(route));
  }
  for (auto& service : services) {
    const auto name = service.name;
    services_.insert_or_assign(name, std::move(service));
  }
}

const traffic_route* traffic_manifest::FindRoute(std::string_view host,
                                                 std::string_view path) const {
  const auto found = hosts_.find(host.substr(0, host.find(':')));
  if (found == hosts_.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  // Prefixes end with a slash, so only the path's own slashes can end one.
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/', end - 1)) {
    const auto route = found->second.find(path.substr(0, end + 1));
    if (route != found->second.end())
      return &route->second;
    if (end == 0)
      break;
  }
  return nullptr;
}

const traffic_service* traffic_manifest::FindService(
    std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace samphire
