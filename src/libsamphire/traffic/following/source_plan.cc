#include "traffic/following/source_plan.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

#include "membership/rendezvous.h"

namespace samphire {

namespace {

// Number of entries of a region that watch the platform. With two, one may be
// unreachable or stalled.
constexpr std::size_t kWatchers = 2;
// In a region of up to four entries, one watcher is enough: a second one would
// add a quarter or more of the cost of all entries watching.
constexpr std::size_t kSmallRegionWatchers = 1;
constexpr std::size_t kSmallRegionEntries = 4;
// Number of backup watchers of a region. If both watchers are partitioned from
// the platform and other entries are not, at least one backup usually still
// reaches it.
constexpr std::size_t kBackups = 4;
// Backups queried per round. Each one without a fresh copy delays the caller.
constexpr std::size_t kBackupsPerRound = 2;

// Returns the peer addresses of `chosen` in the order in which to query them:
// first those of this entry's own failure domain, since traffic within it costs
// least, and otherwise in an order specific to this entry. If all entries used
// the same order, the first peer would serve the whole region and the others
// nobody.
std::vector<std::string> QueryOrder(const std::vector<std::string>& chosen,
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

// Backups matter in large regions: if every entry queried the platform itself
// whenever the watchers have no fresh copy, an outage of a second would cause
// hundreds of calls and the platform would face a burst of load as it recovers.
source_plan PlanSources(const entry_location& self, const entry_list& entries) {
  const auto count = entries.names.size() <= kSmallRegionEntries
                         ? kSmallRegionWatchers
                         : kWatchers;
  auto watchers = PickByRendezvous("watcher", entries.names, count + kBackups);
  const auto first_backup =
      static_cast<std::ptrdiff_t>(std::min(count, watchers.size()));
  const std::vector<std::string> backups(watchers.begin() + first_backup,
                                         watchers.end());
  watchers.resize(static_cast<std::size_t>(first_backup));
  auto watcher_addresses = QueryOrder(watchers, self, entries);
  auto backup_addresses = QueryOrder(backups, self, entries);
  if (watchers.empty() || Contains(watchers, self.instance)) {
    auto substitutes = std::move(watcher_addresses);
    std::ranges::move(backup_addresses, std::back_inserter(substitutes));
    return {.role = source_role::kWatcher,
            .watchers = {},
            .backups = {},
            .substitutes = std::move(substitutes)};
  }
  if (Contains(backups, self.instance)) {
    return {.role = source_role::kBackup,
            .watchers = std::move(watcher_addresses),
            .backups = backup_addresses,
            .substitutes = backup_addresses};
  }
  return {.role = source_role::kFollower,
          .watchers = std::move(watcher_addresses),
          .backups = std::move(backup_addresses),
          .substitutes = {}};
}

// The platform may reject some entries and serve others for an unbounded time.
// If a follower always queried the same backups and those were rejected, it
// would keep an outdated configuration although other backups have the current
// one.
std::vector<std::string> BackupsToQuery(const std::vector<std::string>& backups,
                                        std::size_t stale_rounds) {
  std::vector<std::string> queried;
  const auto count = std::min(kBackupsPerRound, backups.size());
  for (std::size_t i = 0; i < count; ++i) {
    const auto index = stale_rounds * kBackupsPerRound + i;
    queried.push_back(backups[index % backups.size()]);
  }
  return queried;
}

}  // namespace samphire
