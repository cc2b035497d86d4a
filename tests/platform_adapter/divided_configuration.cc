#include "platform_adapter/divided_configuration.h"

#include <fmt/format.h>

#include "platform_adapter/wire_text.h"

namespace samphire::platform {

namespace {

std::string SplitRule(int reads_weight) {
  return fmt::format(
      R"({{"name":"r-split","kind":"safe","targetLatency":"250ms",)"
      R"("match":{{"pathPrefix":"/split/"}},"action":{{"weightedBackends":[)"
      R"({{"service":"reads","weight":{}}},{{"service":"writes","weight":{}}}],)"
      R"("timeout":"800ms","maxAttempts":2,"homeRegions":[]}}}},)",
      reads_weight, 100 - reads_weight);
}

std::string IdleListener(std::size_t number) {
  return fmt::format(
      R"({{"host":"idle{0}.example","rules":[{{"name":"r-idle{0}",)"
      R"("kind":"safe","match":{{"pathPrefix":"/idle/"}},)"
      R"("action":{{"service":"reads","timeout":"800ms"}}}}]}},)",
      number);
}

}  // namespace

std::string divided_configuration::Text() const {
  const std::string rules = R"("rules":[)";
  const std::string listeners = R"("listeners":[)";
  std::string idle;
  for (std::size_t i = 0; i < idle_routes; ++i)
    idle += IdleListener(i);
  const auto routes = UploadManifestObject(fmt::format("{:08x}", version));
  const auto split = Replaced(routes, rules, rules + SplitRule(reads_weight));
  return Replaced(split, listeners, listeners + idle);
}

}  // namespace samphire::platform
