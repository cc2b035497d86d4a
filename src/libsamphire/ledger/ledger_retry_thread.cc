#include "ledger/ledger_retry_thread.h"

#include "base/clock_source.h"

namespace samphire {

namespace {

// Interval between checks for due settlements. An interval below the shortest
// backoff between retries would only waste processor time.
constexpr milliseconds kRetryInterval{50};

}  // namespace

ledger_retry_thread::ledger_retry_thread(ledger& local_ledger)
    : ledger_(local_ledger),
      thread_([this](const std::stop_token& stop) { Run(stop); }) {}

ledger_retry_thread::~ledger_retry_thread() = default;

void ledger_retry_thread::Run(const std::stop_token& stop) {
  std::unique_lock guard(lock_);
  while (!stop.stop_requested()) {
    wake_.wait_for(guard, stop, kRetryInterval, [] { return false; });
    if (ledger_.pending() > 0)
      ledger_.RetryPending();
  }
}

}  // namespace samphire
