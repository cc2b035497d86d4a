#ifndef STEERING_LOOKUP_SNAPSHOT_H_
#define STEERING_LOOKUP_SNAPSHOT_H_

#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "config/declaration.h"
#include "steering/home_region_table.h"
#include "steering/region_order.h"

namespace samphire {

// The part of one version of the declaration that look-ups read. Immutable, so
// any thread may read it without a lock; reference-counted.
class lookup_snapshot
    : public boost::intrusive_ref_counter<lookup_snapshot,
                                          boost::thread_safe_counter> {
 public:
  // Builds a table of the declaration's client blocks.
  lookup_snapshot(const declaration& declared, std::uint64_t version);
  // Takes a table that is built already, and ignores the declaration's own
  // client blocks.
  lookup_snapshot(const declaration& declared_without_blocks,
                  std::uint64_t version,
                  home_region_table_ptr blocks);

  // Returns the home region of a caller: that of the longest client block that
  // contains the address, or the default region if none does.
  const std::string& RegionOf(const ip_address& address) const;

  const region_order& order() const { return order_; }
  // How long callers may use a response.
  milliseconds ttl() const { return ttl_; }
  std::uint64_t version() const { return version_; }

 private:
  std::string default_region_;
  home_region_table_ptr blocks_;
  region_order order_;
  milliseconds ttl_;
  std::uint64_t version_;
};

}  // namespace samphire

#endif  // STEERING_LOOKUP_SNAPSHOT_H_
