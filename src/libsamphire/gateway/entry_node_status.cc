// Status and metrics texts of entry_node.

#include <fmt/format.h>

#include "base/log.h"
#include "gateway/entry_node.h"

namespace samphire {

std::string entry_node::CountersText() {
  reporter_.SetGauges();
  metrics_.Set(
      "config_age_seconds", "",
      std::chrono::duration<double>(follower_.confirmed_age()).count());
  metrics_.Set("ledger_pending", "", static_cast<double>(ledger_.pending()));
  metrics_.Set("quarantined", "",
               static_cast<double>(quarantine_.quarantined()));
  metrics_.Set("targets_lost", "",
               static_cast<double>(quarantine_.targets_lost()));
  metrics_.Set("connections", "", caller_front_.connections());
  // The free slots that each region reports: the headroom for shifts.
  for (const auto& each : membership_.regions()) {
    metrics_.Set("region_free_slots", "region=\"" + each.digest.region + "\"",
                 static_cast<double>(each.digest.free_slots));
  }
  return metrics_.Render();
}

std::string entry_node::DrainNames() const {
  std::string names;
  const auto present = state_.deployments.Get();
  if (!present)
    return names;
  for (const auto& each : present->declared().drains)
    names += (names.empty() ? "" : ",") + JsonQuote(each.name);
  return names;
}

std::string entry_node::StatusText() {
  std::string members;
  for (const auto& each : membership_.members()) {
    members += fmt::format(
        R"({}{{"name":{},"region":{},"state":"{}","config_version":{}}})",
        members.empty() ? "" : ",", JsonQuote(each.name),
        JsonQuote(each.region), NameOf(kMemberStateNames, each.state),
        each.digest.config_version);
  }
  std::string services;
  for (const auto& [name, gate] : gates_.All()) {
    const auto status = gate->status();
    services += fmt::format(
        R"({}{{"name":{},"owned":{},"lent":{},"borrowed":{},"free":{},)"
        R"("in_flight":{},"headroom":{:.3f},"ejected":{}}})",
        services.empty() ? "" : ",", JsonQuote(name), status.owned, status.lent,
        status.borrowed, status.free, status.in_flight, status.headroom,
        status.ejected.size());
  }
  const auto own_config = follower_.AdvertisedConfig();
  return fmt::format(
      R"({{"instance":{},"region":{},"leaving":{},"config_version":{},)"
      R"("config_age_ms":{},"platform_failing":{},)"
      R"("ledger":{{"shards":{},"pending":{}}},)"
      R"("seats":{{"usable":[{}],"held":{},"stranded":[{}]}},)"
      R"("drains":[{}],"quarantined":{},"targets_lost":{},)"
      R"("members":[{}],"services":[{}]}})"
      "\n",
      JsonQuote(settings_.instance), JsonQuote(settings_.region),
      state_.leaving.load(), own_config.version,
      std::chrono::duration_cast<milliseconds>(follower_.confirmed_age())
          .count(),
      follower_.platform_failing(), ledger_.shards(), ledger_.pending(),
      fmt::join(partitions_.Usable(), ","), partitions_.owned_count(),
      fmt::join(partitions_.Stranded(), ","), DrainNames(),
      quarantine_.quarantined(), quarantine_.targets_lost(), members, services);
}

}  // namespace samphire
