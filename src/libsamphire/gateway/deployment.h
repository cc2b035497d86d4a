#ifndef GATEWAY_DEPLOYMENT_H_
#define GATEWAY_DEPLOYMENT_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/declaration.h"
#include "steering/lookup_snapshot.h"

namespace samphire {

// One version of the configuration as requests read it. Immutable.
class deployment
    : public boost::intrusive_ref_counter<deployment,
                                          boost::thread_safe_counter> {
 public:
  // `frame` is the declaration without its client blocks.
  deployment(samphire::declaration frame,
             std::uint64_t version,
             home_region_table_ptr blocks);

  std::uint64_t version() const { return version_; }
  // Without client blocks.
  const samphire::declaration& declared() const { return declared_; }
  const lookup_snapshot& lookups() const { return lookups_; }

  const service* FindService(std::string_view name) const;
  // The region of a failure domain, or nothing.
  const std::string& RegionOfDomain(const std::string& domain) const;
  // The part of a service that is in one region; without targets if none is.
  const service& PartOf(const service& whole, const std::string& region) const;
  // Whether the part has a target that no drain in progress closes.
  bool HasOpenTarget(const service& whole,
                     const std::string& region,
                     wall_time now) const;
  // The regions that have targets of a service, by latency from `home`.
  std::vector<std::string> RegionsOf(const service& whole,
                                     std::string_view home) const;
  // Targets of the service that a drain in progress closes at `now`.
  std::set<std::string> DrainedTargets(const service& whole,
                                       wall_time now) const;

 private:
  using region_parts = std::map<std::string, service>;

  region_parts PartsOf(const service& whole) const;
  bool IsDrained(const service& whole, const target& each, wall_time now) const;

  samphire::declaration declared_;
  std::uint64_t version_;
  lookup_snapshot lookups_;
  std::map<std::string, std::string> region_of_domain_;
  // By service: cut apart once, since each request asks.
  std::map<std::string, region_parts> parts_;
};

using deployment_ptr = boost::intrusive_ptr<const deployment>;

}  // namespace samphire

#endif  // GATEWAY_DEPLOYMENT_H_
