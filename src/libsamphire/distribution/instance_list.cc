#include "distribution/instance_list.h"

#include <algorithm>
#include <utility>

#include "distribution/config_chunk.h"
#include "store/store_json.h"

namespace samphire {

instance_list MakeInstanceList(std::vector<instance_info> instances) {
  std::sort(instances.begin(), instances.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  auto digest = ContentDigest(WriteInstances(instances));
  return {std::move(instances), std::move(digest)};
}

}  // namespace samphire
