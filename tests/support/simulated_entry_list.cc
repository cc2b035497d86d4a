#include "support/simulated_entry_list.h"

#include <vector>

namespace samphire {

boost::intrusive_ptr<const entry_list> BuildEntryList(
    membership_core& core,
    entry_list_builder& builder,
    time_point now,
    bool ready,
    bool leaving) {
  std::vector<member> members = {core.table().self()};
  for (const auto& [name, other] : core.table().other_members())
    members.push_back(other);
  std::vector<region_view> regions;
  for (const auto& [name, digest] : core.regions().digests())
    regions.push_back({digest, milliseconds{0}});
  return builder.Build(members, regions, ready, leaving, now);
}

}  // namespace samphire
