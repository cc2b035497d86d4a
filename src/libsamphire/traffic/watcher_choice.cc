#include "traffic/watcher_choice.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "membership/rendezvous.h"

namespace samphire {

namespace {

// Two watchers, so that one may be cut off or stand still; one where each
// spared watch is a quarter of the cost. Four for 100 entries were tried: the
// busiest instance had less to do, but what the region sent between failure
// domains cost a fifth more, and callers got no more.
constexpr std::size_t kWatchers = 2;
constexpr std::size_t kFewWatchers = 1;
constexpr std::size_t kSmallRegion = 4;

}  // namespace

// All agree on who watches. Each asks first those of its own failure domain,
// whose bytes cost least, and else in an order of its own: asked in one order
// by all, the first watcher would carry the whole region and the others
// nothing.
std::vector<std::string> WatchersFor(const entry_place& self,
                                     const entry_list& entries) {
  const auto count =
      entries.names.size() <= kSmallRegion ? kFewWatchers : kWatchers;
  const auto chosen = PickByRendezvous("watcher", entries.names, count);
  std::vector<std::tuple<bool, std::uint64_t, std::string>> order;
  for (const auto& name : chosen) {
    if (name == self.instance)
      return {};
    const auto found =
        std::find(entries.names.begin(), entries.names.end(), name);
    const auto at = static_cast<std::size_t>(found - entries.names.begin());
    order.emplace_back(entries.failure_domains[at] == self.failure_domain,
                       RendezvousWeight(self.instance, name),
                       entries.peer_addresses[at]);
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  std::vector<std::string> addresses;
  addresses.reserve(order.size());
  for (const auto& [near, weight, address] : order)
    addresses.push_back(address);
  return addresses;
}

}  // namespace samphire
