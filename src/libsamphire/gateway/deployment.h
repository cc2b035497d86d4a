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

// One version of the configuration in the form that requests read. Immutable,
// so any thread may read it without a lock; reference-counted.
class deployment
    : public boost::intrusive_ref_counter<deployment,
                                          boost::thread_safe_counter> {
 public:
  // `frame` is the declaration without its client blocks; `blocks` is the table
  // built from them.
  deployment(samphire::declaration frame,
             std::uint64_t version,
             home_region_table_ptr blocks);

  std::uint64_t version() const { return version_; }
  // The declaration, without client blocks.
  const samphire::declaration& declared() const { return declared_; }
  const lookup_snapshot& lookups() const { return lookups_; }

  // Returns the service with this name, or null.
  const service* FindService(std::string_view name) const;
  // Returns the region of a failure domain, or an empty name.
  const std::string& RegionOfDomain(const std::string& domain) const;
  // Returns the part of a declared service that lies in one region: its
  // classes, and only the targets of that region; without targets if there are
  // none.
  const service& PartOf(const service& whole, const std::string& region) const;
  // Whether that part has a target that no drain in progress closes at `now`.
  bool HasOpenTarget(const service& whole,
                     const std::string& region,
                     wall_time now) const;
  // Returns the regions that have targets of the service, by latency from
  // `home`, the nearest first.
  std::vector<std::string> RegionsOf(const service& whole,
                                     std::string_view home) const;
  // Returns the targets of the service that a drain in progress closes at
  // `now`.
  std::set<std::string> DrainedTargets(const service& whole,
                                       wall_time now) const;

 private:
  using region_parts = std::map<std::string, service>;

  region_parts PartsOf(const service& whole) const;
  // Whether a drain that has started covers the target.
  bool IsDrained(const service& whole, const target& each, wall_time now) const;

  samphire::declaration declared_;
  std::uint64_t version_;
  lookup_snapshot lookups_;
  std::map<std::string, std::string> region_of_domain_;
  // Parts by service, computed once, since every request needs them.
  std::map<std::string, region_parts> parts_;
};

using deployment_ptr = boost::intrusive_ptr<const deployment>;

}  // namespace samphire

#endif  // GATEWAY_DEPLOYMENT_H_
