#include "traffic/sending/relay_choice.h"

#include <algorithm>
#include <cstddef>

namespace samphire {

namespace {

void AppendFrom(std::vector<std::string> group,
                std::uint64_t seed,
                std::vector<std::string>& relays) {
  if (group.empty())
    return;
  const auto first = static_cast<std::ptrdiff_t>(seed % group.size());
  std::rotate(group.begin(), group.begin() + first, group.end());
  relays.insert(relays.end(), group.begin(), group.end());
}

}  // namespace

// The body of a request with home regions must not reach an entry elsewhere.
std::vector<std::string> RelaysFor(const entry_list& entries,
                                   const entry_location& self,
                                   const std::vector<std::string>& home_regions,
                                   std::uint64_t seed) {
  const auto is_allowed = [&](const std::string& region) {
    return home_regions.empty() ||
           std::ranges::find(home_regions, region) != home_regions.end();
  };
  std::vector<std::string> relays;
  if (is_allowed(self.region)) {
    std::vector<std::string> peers;
    for (std::size_t i = 0; i < entries.names.size(); ++i) {
      if (entries.names[i] != self.instance)
        peers.push_back(entries.peer_addresses[i]);
    }
    AppendFrom(std::move(peers), seed, relays);
  }
  std::vector<std::string> others;
  for (const auto& [region, contacts] : entries.other_regions) {
    if (region != self.region && is_allowed(region))
      others.insert(others.end(), contacts.begin(), contacts.end());
  }
  AppendFrom(std::move(others), seed, relays);
  return relays;
}

}  // namespace samphire
