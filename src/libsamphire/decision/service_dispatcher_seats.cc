#include <algorithm>

#include "decision/service_dispatcher.h"

namespace samphire {

// A seat that is handed over takes its slots along at once, but the work that
// runs on them goes on. Until it has ended, the next owner must not start its
// own there, or the target would hold more than its slots; the sum over the
// targets says how much is still to end.
std::uint32_t service_dispatcher::over_owned() const {
  std::uint32_t over = 0;
  for (const auto& each : pool_.all()) {
    const auto used = each.own_running + each.lent;
    over += used - std::min(used, each.owned);
  }
  return over;
}

std::set<std::string> service_dispatcher::draining() const {
  std::set<std::string> names;
  for (const auto& each : pool_.all()) {
    if (!each.open() && each.running > 0)
      names.insert(each.name);
  }
  return names;
}

}  // namespace samphire
