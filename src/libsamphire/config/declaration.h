#ifndef CONFIG_DECLARATION_H_
#define CONFIG_DECLARATION_H_

#include <string>
#include <vector>

#include "config/client_block.h"
#include "config/drain.h"
#include "config/limits.h"
#include "config/region.h"
#include "config/region_latency.h"
#include "config/service.h"
#include "config/shift_cap.h"

namespace samphire {

// The configuration of a deployment as declared by its operators. It is applied
// atomically: as a whole or not at all.
struct declaration {
  std::string name;
  std::vector<region> regions;
  std::vector<region_latency> latencies;
  std::vector<client_block> client_blocks;
  // The region of callers whose address is in none of the client blocks.
  std::string default_region;
  std::vector<service> services;
  std::vector<shift_cap> shift_caps;
  std::vector<drain> drains;
  samphire::limits limits;

  bool operator==(const declaration&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_DECLARATION_H_
