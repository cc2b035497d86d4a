#ifndef CONFIG_REGION_CHECKS_H_
#define CONFIG_REGION_CHECKS_H_

#include "base/result.h"
#include "config/declaration.h"
#include "config/declaration_names.h"

namespace samphire {

// Checks of the regions, failure domains, latencies, shift caps, client blocks
// and drains of a declaration. Each returns the first error with its JSON
// pointer.
result<void> CheckRegionNames(const declaration& declared,
                              const declaration_names& names);
result<void> CheckLatencies(const declaration& declared,
                            const declaration_names& names);
result<void> CheckShiftCaps(const declaration& declared,
                            const declaration_names& names);
result<void> CheckClientBlocks(const declaration& declared,
                               const declaration_names& names);
result<void> CheckDrains(const declaration& declared,
                         const declaration_names& names);

}  // namespace samphire

#endif  // CONFIG_REGION_CHECKS_H_
