#ifndef STEERING_PREFIX_TABLE_H_
#define STEERING_PREFIX_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "steering/prefix_route.h"
#include "steering/range_table.h"

namespace samphire {

// Maps addresses to destinations by the longest matching prefix, for IPv6 and
// IPv4 (mapped into IPv6). Immutable, so any thread may read it without a lock.
class prefix_table {
 public:
  prefix_table() = default;
  // Of two equal prefixes the later one decides.
  explicit prefix_table(const std::vector<prefix_route>& routes);

  // Returns the destination of the longest prefix that contains the address, or
  // kNoDestination if none does.
  destination Find(const ip_address& address) const;

  // Memory that the table takes, itself included.
  std::size_t bytes() const;

 private:
  using wide_key = unsigned __int128;

  // IPv4 addresses in host byte order.
  range_table<std::uint32_t> ipv4_;
  // Upper halves of IPv6 addresses, for prefixes of up to 64 bits.
  range_table<std::uint64_t> upper_halves_;
  // Full IPv6 addresses, for longer prefixes.
  range_table<wide_key> full_addresses_;
};

}  // namespace samphire

#endif  // STEERING_PREFIX_TABLE_H_
