#ifndef STEERING_REGION_ORDER_H_
#define STEERING_REGION_ORDER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/declaration.h"

namespace samphire {

// For each home region, the declared regions by ascending one-way latency,
// itself first. Immutable, so any thread may read it without a lock.
class region_order {
 public:
  explicit region_order(const declaration& declared);

  // Returns the regions in the order for callers of `home`; empty for a region
  // that is not declared.
  const std::vector<std::string>& RegionsByLatencyFrom(
      std::string_view home) const;

 private:
  std::map<std::string, std::vector<std::string>, std::less<>> orders_;
};

}  // namespace samphire

#endif  // STEERING_REGION_ORDER_H_
