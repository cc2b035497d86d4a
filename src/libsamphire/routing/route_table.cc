#include "routing/route_table.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace samphire {

namespace {

bool IsBefore(const route_ptr& a, const route_ptr& b) {
  return std::tie(a->route.host, a->route.path_prefix) <
         std::tie(b->route.host, b->route.path_prefix);
}

struct host_order {
  bool operator()(const route_ptr& a, std::string_view host) const {
    return a->route.host < host;
  }
  bool operator()(std::string_view host, const route_ptr& a) const {
    return host < a->route.host;
  }
};

std::vector<route_ptr> Share(std::initializer_list<traffic_route> routes) {
  std::vector<route_ptr> shared;
  shared.reserve(routes.size());
  for (const auto& route : routes)
    shared.emplace_back(new shared_route(route));
  return shared;
}

// Sorts the routes and keeps the last one of each host and prefix.
std::vector<route_ptr> Sorted(std::vector<route_ptr> routes) {
  std::ranges::reverse(routes);
  std::ranges::stable_sort(routes, IsBefore);
  routes.erase(std::unique(routes.begin(), routes.end(),
                           [](const route_ptr& a, const route_ptr& b) {
                             return !IsBefore(a, b);
                           }),
               routes.end());
  return routes;
}

// Returns `routes` without `removed`; both are sorted.
std::vector<route_ptr> Without(const std::vector<route_ptr>& routes,
                               const std::vector<route_ptr>& removed) {
  std::vector<route_ptr> kept;
  kept.reserve(routes.size());
  auto from = routes.begin();
  for (const auto& each : removed) {
    const auto found = std::lower_bound(from, routes.end(), each, IsBefore);
    kept.insert(kept.end(), from, found);
    from = found == routes.end() ? found : std::next(found);
  }
  kept.insert(kept.end(), from, routes.end());
  return kept;
}

}  // namespace

route_table::route_table(std::vector<route_ptr> routes)
    : routes_(Sorted(std::move(routes))) {}

route_table::route_table(std::initializer_list<traffic_route> routes)
    : route_table(Share(routes)) {}

route_table route_table::WithChanges(const std::vector<route_ptr>& removed,
                                     std::vector<route_ptr> added) const {
  const auto kept = Without(routes_, Sorted(removed));
  const auto inserted = Sorted(std::move(added));
  route_table changed;
  changed.routes_.reserve(kept.size() + inserted.size());
  auto from = kept.begin();
  for (const auto& each : inserted) {
    const auto position = std::lower_bound(from, kept.end(), each, IsBefore);
    changed.routes_.insert(changed.routes_.end(), from, position);
    changed.routes_.push_back(each);
    const bool replaces = position != kept.end() && !IsBefore(each, *position);
    from = replaces ? std::next(position) : position;
  }
  changed.routes_.insert(changed.routes_.end(), from, kept.end());
  return changed;
}

const traffic_route* route_table::Find(std::string_view host,
                                       std::string_view path) const {
  const auto of_host =
      std::equal_range(routes_.begin(), routes_.end(),
                       host.substr(0, host.find(':')), host_order{});
  if (of_host.first == of_host.second)
    return nullptr;
  path = path.substr(0, path.find('?'));
  // Prefixes end with a slash, so only positions of slashes in the path can be
  // the end of a prefix.
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/', end - 1)) {
    const auto prefix = path.substr(0, end + 1);
    const auto found =
        std::lower_bound(of_host.first, of_host.second, prefix,
                         [](const route_ptr& route, std::string_view wanted) {
                           return route->route.path_prefix < wanted;
                         });
    if (found != of_host.second && (*found)->route.path_prefix == prefix)
      return &(*found)->route;
    if (end == 0)
      break;
  }
  return nullptr;
}

}  // namespace samphire
