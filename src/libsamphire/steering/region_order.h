#ifndef STEERING_REGION_ORDER_H_
#define STEERING_REGION_ORDER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/declaration.h"

namespace samphire {

// For each home region, all regions by latency, itself first.
class region_order {
 public:
  explicit region_order(const declaration& declared);

  // The order for callers of `home`; empty for a region that isn't declared.
  const std::vector<std::string>& From(std::string_view home) const;

 private:
  std::map<std::string, std::vector<std::string>, std::less<>> orders_;
};

}  // namespace samphire

#endif  // STEERING_REGION_ORDER_H_
