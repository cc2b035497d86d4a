#ifndef CONFIG_REGION_H_
#define CONFIG_REGION_H_

#include <cstdint>
#include <string>
#include <vector>

namespace samphire {

// A region and the failure domains in it.
struct region {
  std::string name;
  std::vector<std::string> failure_domains;
  // Into how many seats the region's capacity is divided among its entries.
  std::uint32_t seats = 0;

  bool operator==(const region&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_REGION_H_
