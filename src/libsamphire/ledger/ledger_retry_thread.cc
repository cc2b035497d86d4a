#include "ledger/ledger_retry_thread.h"

#include "base/clock_source.h"

namespace samphire {

namespace {

// Under the shortest pause between tries this would only burn processor time.
constexpr milliseconds kInterval{50};

}  // namespace

ledger_retry_thread::ledger_retry_thread(ledger& subject)
    : ledger_(subject),
      thread_([this](const std::stop_token& stop) { Run(stop); }) {}

ledger_retry_thread::~ledger_retry_thread() = default;

void ledger_retry_thread::Run(const std::stop_token& stop) {
  std::unique_lock guard(lock_);
  while (!stop.stop_requested()) {
    wake_.wait_for(guard, stop, kInterval, [] { return false; });
    if (ledger_.pending() > 0)
      ledger_.RetryPending();
  }
}

}  // namespace samphire
