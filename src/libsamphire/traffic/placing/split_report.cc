#include "traffic/placing/split_report.h"

#include <fmt/format.h>

#include "base/log.h"

namespace samphire {

void LogReplacedSplit(const std::string& route,
                      std::uint64_t version,
                      const weighted_split& split) {
  std::string parts;
  std::uint64_t requests = 0;
  for (const auto& each : split.counts()) {
    parts += fmt::format("{}{}:{}:{}", parts.empty() ? "" : ",",
                         each.part.service, each.part.weight, each.requests);
    requests += each.requests;
  }
  if (requests == 0)
    return;
  Log(log_level::kInfo, "split-replaced",
      {{"route", route},
       {"version", version},
       {"requests", requests},
       {"parts", parts}});
}

void SetSplitMetrics(service_shards& shards, metrics& registry) {
  shards.ForEachSplit([&](const auto& route, const weighted_split& split) {
    for (const auto& each : split.counts()) {
      const auto labels =
          fmt::format(R"(route="{}",service="{}")", route, each.part.service);
      registry.Set("split_requests", labels,
                   static_cast<double>(each.requests));
      registry.Set("split_weight", labels, each.part.weight);
    }
  });
}

}  // namespace samphire
