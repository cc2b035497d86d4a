#ifndef STEERING_LOOKUP_SNAPSHOT_H_
#define STEERING_LOOKUP_SNAPSHOT_H_

#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "config/declaration.h"
#include "steering/block_table.h"
#include "steering/region_order.h"

namespace samphire {

// What look-ups read of one version of the declaration. Immutable.
class lookup_snapshot
    : public boost::intrusive_ref_counter<lookup_snapshot,
                                          boost::thread_safe_counter> {
 public:
  lookup_snapshot(const declaration& declared, std::uint64_t version);
  // `frame` without its client blocks, which `blocks` holds.
  lookup_snapshot(const declaration& frame,
                  std::uint64_t version,
                  block_table_ptr blocks);

  // The home region of a caller: that of the longest client block around the
  // address, else the default region.
  const std::string& RegionOf(const ip_address& address) const;

  const region_order& order() const { return order_; }
  milliseconds ttl() const { return ttl_; }
  std::uint64_t version() const { return version_; }

 private:
  std::string default_region_;
  block_table_ptr blocks_;
  region_order order_;
  milliseconds ttl_;
  std::uint64_t version_;
};

}  // namespace samphire

#endif  // STEERING_LOOKUP_SNAPSHOT_H_
