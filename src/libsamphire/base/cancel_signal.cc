#include "base/cancel_signal.h"

namespace samphire {

void cancel_signal::Cancel() {
  if (!cancelled_.exchange(true))
    pipe_.close(Poco::Pipe::CLOSE_WRITE);
}

}  // namespace samphire
