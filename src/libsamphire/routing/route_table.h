#ifndef ROUTING_ROUTE_TABLE_H_
#define ROUTING_ROUTE_TABLE_H_

#include <cstddef>
#include <initializer_list>
#include <string_view>
#include <vector>

#include "routing/shared_route.h"

namespace samphire {

// The routes of one version, ordered by host and prefix for lookups. Immutable,
// and therefore safe to use from any thread.
class route_table {
 public:
  route_table() = default;
  // Of several routes with the same host and prefix, the last one is used.
  explicit route_table(std::vector<route_ptr> routes);
  route_table(std::initializer_list<traffic_route> routes);

  // Returns a table without the routes `removed`, which must be of this table,
  // and with the routes `added`, which replace those of the same host and
  // prefix. Apart from copying references, the work
  // depends on the number of these routes.
  route_table WithChanges(const std::vector<route_ptr>& removed,
                          std::vector<route_ptr> added) const;

  std::size_t size() const { return routes_.size(); }
  // Returns the route of `host` with the longest prefix of `path`, or null if
  // there is none. Ignores a port in `host` and a query in `path`.
  const traffic_route* Find(std::string_view host, std::string_view path) const;

 private:
  // Ordered by host and prefix, which are unique.
  std::vector<route_ptr> routes_;
};

}  // namespace samphire

#endif  // ROUTING_ROUTE_TABLE_H_
