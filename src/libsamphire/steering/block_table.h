#ifndef STEERING_BLOCK_TABLE_H_
#define STEERING_BLOCK_TABLE_H_

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

// The home regions of client blocks. Immutable, and shared by the snapshots of
// all versions that declare the same blocks.
class block_table
    : public boost::intrusive_ref_counter<block_table,
                                          boost::thread_safe_counter> {
 public:
  using block_visitor = std::function<void(const client_block&)>;
  // Calls the visitor for each block.
  using block_source = std::function<void(const block_visitor&)>;

  block_table(const std::vector<region>& regions, const block_source& blocks);

  // The region of the longest block around the address, or null.
  const std::string* RegionOf(const ip_address& address) const;

 private:
  std::vector<std::string> regions_;
  prefix_table blocks_;
};

using block_table_ptr = boost::intrusive_ptr<const block_table>;

}  // namespace samphire

#endif  // STEERING_BLOCK_TABLE_H_
