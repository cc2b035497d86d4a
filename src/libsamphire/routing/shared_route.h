#ifndef ROUTING_SHARED_ROUTE_H_
#define ROUTING_SHARED_ROUTE_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <utility>

#include "routing/traffic_route.h"

namespace samphire {

// A route that the versions of the configuration in which it is the same share.
struct shared_route
    : public boost::intrusive_ref_counter<shared_route,
                                          boost::thread_safe_counter> {
  explicit shared_route(traffic_route r) : route(std::move(r)) {}

  const traffic_route route;
};

using route_ptr = boost::intrusive_ptr<const shared_route>;

}  // namespace samphire

#endif  // ROUTING_SHARED_ROUTE_H_
