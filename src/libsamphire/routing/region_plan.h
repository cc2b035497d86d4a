#ifndef ROUTING_REGION_PLAN_H_
#define ROUTING_REGION_PLAN_H_

#include <map>
#include <string>

namespace samphire {

// Capacity for one service by region, in slots.
using region_capacity = std::map<std::string, double>;
// Capacity for one service by failure domain of one region, in slots.
using domain_capacity = std::map<std::string, double>;

// Returns the fraction of each region's capacity that callers of region `from`
// should use, from 0 to 1, under the assumption of equal demand in all regions.
// Callers stay in their own region up to its capacity; the excess goes to
// regions with free capacity, in proportion to it.
std::map<std::string, double> PlanRegions(const region_capacity& capacity,
                                          const std::string& from);

// Returns the fraction of each failure domain's capacity that callers of its
// domain `from` should use, from 0 to 1. `capacity` covers the domains of one
// region. All callers of the region together use `region_factor` of its
// capacity, with equal demand in each domain.
std::map<std::string, double> PlanDomains(const domain_capacity& capacity,
                                          const std::string& from,
                                          double region_factor);

}  // namespace samphire

#endif  // ROUTING_REGION_PLAN_H_
