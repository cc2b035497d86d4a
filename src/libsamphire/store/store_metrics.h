#ifndef STORE_STORE_METRICS_H_
#define STORE_STORE_METRICS_H_

#include "base/result_code.h"
#include "metrics/metrics.h"
#include "store/store_call.h"

namespace samphire {

// Counters shared by all clients of the platform's object store: calls by kind
// and errors by reason.
void CountStoreCall(metrics& counters, store_call call);
void CountStoreError(metrics& counters, result_code code);

}  // namespace samphire

#endif  // STORE_STORE_METRICS_H_
