#include "decision/status_metrics.h"

#include <fmt/format.h>

#include <chrono>

namespace samphire {

void PublishStatus(metrics& registry,
                   std::string_view service,
                   const dispatcher_status& status) {
  const auto labels = fmt::format("service=\"{}\"", service);
  registry.Set("slots_owned", labels, status.owned);
  registry.Set("slots_lent", labels, status.lent);
  registry.Set("slots_borrowed", labels, status.borrowed);
  registry.Set("slots_free", labels, status.free);
  registry.Set("slots_unusable", labels, status.unusable);
  registry.Set("in_flight", labels, status.in_flight);
  registry.Set("bulk_in_flight", labels, status.bulk_in_flight);
  registry.Set("headroom", labels, status.headroom);
  registry.Set("queue_delay_seconds", labels,
               std::chrono::duration<double>(status.queue_delay).count());
  registry.Set("shed_level", labels, status.shed_level);
  registry.Set("targets_ejected", labels,
               static_cast<double>(status.ejected.size()));
  for (const auto& each : status.classes) {
    registry.Set("queued", fmt::format("{},class=\"{}\"", labels, each.name),
                 static_cast<double>(each.queued));
  }
  for (const auto& each : status.shifts) {
    const auto of_shift =
        fmt::format("{},from=\"{}\"", labels, each.home_region);
    registry.Set("shift_in_flight", of_shift, each.in_flight);
    registry.Set("shift_limit", of_shift, each.limit);
  }
}

}  // namespace samphire
