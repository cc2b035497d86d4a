#include "config/declaration_names.h"

namespace samphire {

declaration_names::declaration_names(const declaration& declared) {
  for (const auto& declared_region : declared.regions) {
    regions.insert(declared_region.name);
    failure_domains.insert(declared_region.failure_domains.begin(),
                           declared_region.failure_domains.end());
  }
  for (const auto& declared_service : declared.services) {
    for (const auto& declared_target : declared_service.targets)
      targets.insert(declared_service.name + "/" + declared_target.name);
  }
}

}  // namespace samphire
