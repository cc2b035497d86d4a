#include "target_list.h"

#include <algorithm>

#include "config/declaration_reader.h"
#include "config/file_text.h"

namespace samphire {

namespace {

// Limit for the declaration file.
constexpr std::size_t kMaxFileBytes = 16 << 20;

// Returns the region of a failure domain, or "" if it is not declared.
std::string RegionOf(const declaration& declared, const std::string& domain) {
  for (const auto& region : declared.regions) {
    const auto& domains = region.failure_domains;
    if (std::find(domains.begin(), domains.end(), domain) != domains.end())
      return region.name;
  }
  return {};
}

}  // namespace

result<std::vector<worker_identity>> ReadTargets(const std::string& path,
                                                 const target_filter& filter) {
  BOOST_OUTCOME_TRY(text, ReadFileText(path, kMaxFileBytes));
  BOOST_OUTCOME_TRY(declared, ReadAcceptedDeclaration(text));
  std::vector<worker_identity> selected;
  for (const auto& service : declared.services) {
    if (!filter.service.empty() && service.name != filter.service)
      continue;
    for (const auto& target : service.targets) {
      auto region = RegionOf(declared, target.failure_domain);
      if (!filter.region.empty() && region != filter.region)
        continue;
      selected.push_back({.name = target.name,
                          .service = service.name,
                          .region = std::move(region),
                          .failure_domain = target.failure_domain,
                          .address = target.address,
                          .slots = target.slots});
    }
  }
  if (selected.empty())
    return MakeError(result_code::kServiceWithoutTargets, path);
  return selected;
}

}  // namespace samphire
