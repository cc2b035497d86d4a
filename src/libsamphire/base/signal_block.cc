#include "base/signal_block.h"

namespace samphire {

sigset_t BlockSignals(std::initializer_list<int> signals) {
  sigset_t blocked;
  sigemptyset(&blocked);
  for (const int each : signals)
    sigaddset(&blocked, each);
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
  return blocked;
}

}  // namespace samphire
