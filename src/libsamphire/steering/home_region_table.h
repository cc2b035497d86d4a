#ifndef STEERING_HOME_REGION_TABLE_H_
#define STEERING_HOME_REGION_TABLE_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <string>
#include <vector>

#include "config/client_block.h"
#include "config/ip_address.h"
#include "config/region.h"
#include "steering/prefix_table.h"

namespace samphire {

// Maps caller addresses to home regions by the declared client blocks, with the
// longest matching prefix. Immutable, so any thread may read it without a lock;
// reference-counted, since the snapshots of all configuration versions that
// declare the same blocks share one table.
class home_region_table
    : public boost::intrusive_ref_counter<home_region_table,
                                          boost::thread_safe_counter> {
 public:
  using block_visitor = std::function<void(const client_block&)>;
  // Calls the visitor for each block. The constructor runs it twice, first to
  // count the blocks; both runs must give the same ones.
  using block_source = std::function<void(const block_visitor&)>;

  // Blocks of regions that are not in `regions` are left out.
  home_region_table(const std::vector<region>& regions,
                    const block_source& blocks);

  // Returns the region of the longest block that contains the address, or null
  // if none does. The string lives as long as the table.
  const std::string* RegionOf(const ip_address& address) const;

 private:
  std::vector<std::string> regions_;
  prefix_table prefixes_;
};

using home_region_table_ptr = boost::intrusive_ptr<const home_region_table>;

}  // namespace samphire

#endif  // STEERING_HOME_REGION_TABLE_H_
