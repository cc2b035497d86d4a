#ifndef ROUTING_REGION_PLAN_H_
#define ROUTING_REGION_PLAN_H_

#include <map>
#include <string>

namespace samphire {

// Room for a service by region, in slots.
using region_room = std::map<std::string, double>;
// The same by failure domain of one region.
using domain_room = std::map<std::string, double>;

// How much of each region's room callers of the region `from` are to use, as
// a factor from 0 to 1 for each region, if every region's callers ask alike.
// Callers stay in their own region as far as its room goes; what is over goes
// to the regions that have room left, in proportion to it.
std::map<std::string, double> PlanRegions(const region_room& room,
                                          const std::string& from);

// How much of each failure domain's room in a region callers of its domain
// `from` are to use, as a factor from 0 to 1 for each domain. All callers of
// the region together use `region_factor` of its room, each domain's alike.
std::map<std::string, double> PlanDomains(const domain_room& room,
                                          const std::string& from,
                                          double region_factor);

}  // namespace samphire

#endif  // ROUTING_REGION_PLAN_H_
