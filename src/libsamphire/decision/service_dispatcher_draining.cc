#include <algorithm>

#include "decision/service_dispatcher.h"

namespace samphire {

// A slot partition that is handed over takes its slots with it immediately, but
// the work running on them continues. Until that has ended, the next owner must
// not start its own work there, or the target would run more than its slots;
// the sum over the targets is the amount of work still to end.
std::uint32_t service_dispatcher::excess_slots() const {
  std::uint32_t over = 0;
  for (const auto& each : pool_.all()) {
    const auto used = each.running_on_owned + each.lent;
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
