#include "store/store_metrics.h"

#include <fmt/format.h>

namespace samphire {

void CountStoreCall(metrics& counters, store_call call) {
  counters.Count("store_calls_total",
                 fmt::format("kind=\"{}\"", NameOf(kStoreCallNames, call)));
}

void CountStoreError(metrics& counters, result_code code) {
  counters.Count("store_errors_total",
                 fmt::format("reason=\"{}\"", NameOf(code)));
}

}  // namespace samphire
