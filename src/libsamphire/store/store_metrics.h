#ifndef STORE_STORE_METRICS_H_
#define STORE_STORE_METRICS_H_

#include "base/result_code.h"
#include "metrics/metrics.h"
#include "store/store_call.h"

namespace samphire {

// The counters of every client of the platform's store.
void CountStoreCall(metrics& counters, store_call call);
void CountStoreError(metrics& counters, result_code why);

}  // namespace samphire

#endif  // STORE_STORE_METRICS_H_
