#ifndef LEDGER_LEDGER_RETRY_THREAD_H_
#define LEDGER_LEDGER_RETRY_THREAD_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "ledger/ledger.h"

namespace samphire {

// Owns a thread that periodically retries a ledger's pending settlements. The
// thread stops and is joined on destruction. `local_ledger` must outlive it.
class ledger_retry_thread {
 public:
  explicit ledger_retry_thread(ledger& local_ledger);
  ~ledger_retry_thread();

  ledger_retry_thread(const ledger_retry_thread&) = delete;
  ledger_retry_thread& operator=(const ledger_retry_thread&) = delete;

 private:
  void Run(const std::stop_token& stop);

  ledger& ledger_;
  // Needed only for the interruptible wait.
  std::mutex lock_;
  std::condition_variable_any wake_;
  std::jthread thread_;
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_RETRY_THREAD_H_
