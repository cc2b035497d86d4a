#ifndef STEERING_PREFIX_TABLE_H_
#define STEERING_PREFIX_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "steering/prefix_route.h"
#include "steering/range_table.h"

namespace samphire {

// The longest prefix match from addresses to destinations. Immutable.
class prefix_table {
 public:
  prefix_table() = default;
  explicit prefix_table(const std::vector<prefix_route>& routes);

  // Where callers of `address` go, or kNoDestination.
  destination Find(const ip_address& address) const;

  std::size_t bytes() const;

 private:
  using wide_key = unsigned __int128;

  range_table<std::uint32_t> ipv4_;
  // The upper halves of IPv6 addresses, for prefixes of up to 64 bits.
  range_table<std::uint64_t> upper_;
  // Whole IPv6 addresses, for longer prefixes.
  range_table<wide_key> whole_;
};

}  // namespace samphire

#endif  // STEERING_PREFIX_TABLE_H_
