#include "traffic/source_plan.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>

#include "membership/rendezvous.h"

namespace samphire {

namespace {

// Two watchers, so that one may be cut off or stand still; one where each
// spared watch is a quarter of the cost.
constexpr std::size_t kWatchers = 2;
constexpr std::size_t kFewWatchers = 1;
constexpr std::size_t kSmallRegion = 4;
// When both watchers are cut off from the platform and others are not, at least
// one of these mostly isn't either.
constexpr std::size_t kDeputies = 4;
// Deputies asked per round. Each one without a fresh copy delays the caller.
constexpr std::size_t kAskedDeputies = 2;

// Those of the own failure domain first, whose bytes cost least, and else in an
// order of this entry's own: asked in one order by all, the first would carry
// the whole region and the others nothing.
std::vector<std::string> InOwnOrder(const std::vector<std::string>& chosen,
                                    const entry_location& self,
                                    const entry_list& entries) {
  std::vector<std::tuple<bool, std::uint64_t, std::string>> order;
  for (const auto& name : chosen) {
    if (name == self.instance)
      continue;
    const auto found = std::ranges::find(entries.names, name);
    const auto at = static_cast<std::size_t>(found - entries.names.begin());
    order.emplace_back(entries.failure_domains[at] == self.failure_domain,
                       RendezvousWeight(self.instance, name),
                       entries.peer_addresses[at]);
  }
  std::ranges::sort(order, std::greater<>());
  std::vector<std::string> addresses;
  addresses.reserve(order.size());
  for (const auto& [near, weight, address] : order)
    addresses.push_back(address);
  return addresses;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::ranges::find(names, name) != names.end();
}

}  // namespace

// Made for large regions: if each entry turned to the platform by itself when
// the watchers can't tell, an outage of a second would cost hundreds of calls,
// and the platform would come back to a crowd.
source_plan PlanSources(const entry_location& self, const entry_list& entries) {
  const auto count =
      entries.names.size() <= kSmallRegion ? kFewWatchers : kWatchers;
  auto watchers = PickByRendezvous("watcher", entries.names, count + kDeputies);
  const auto first_deputy =
      static_cast<std::ptrdiff_t>(std::min(count, watchers.size()));
  const std::vector<std::string> deputies(watchers.begin() + first_deputy,
                                          watchers.end());
  watchers.resize(static_cast<std::size_t>(first_deputy));
  if (watchers.empty() || Contains(watchers, self.instance))
    return {};
  return {.role = Contains(deputies, self.instance) ? source_role::kDeputy
                                                    : source_role::kFollower,
          .watchers = InOwnOrder(watchers, self, entries),
          .deputies = InOwnOrder(deputies, self, entries)};
}

// The platform may reject some entries and serve others for an unbounded time.
// If a follower always asked the same deputies and those were rejected, it
// would keep an outdated configuration although other deputies have the current
// one.
std::vector<std::string> DeputiesToAsk(const std::vector<std::string>& deputies,
                                       std::size_t stale_rounds) {
  std::vector<std::string> asked;
  const auto count = std::min(kAskedDeputies, deputies.size());
  for (std::size_t i = 0; i < count; ++i) {
    const auto index = stale_rounds * kAskedDeputies + i;
    asked.push_back(deputies[index % deputies.size()]);
  }
  return asked;
}

}  // namespace samphire
