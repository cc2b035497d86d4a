#include "base/log_rate_limiter.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

// Under heavy load every request logs a line. If these used up the whole rate
// limit, warnings about the process itself would be dropped, and the log would
// not show the cause of a failure.
TEST_CASE("warnings are admitted under load, and drops are counted once") {
  log_rate_limiter limiter;
  const time_point now{1h};
  int written = 0;
  for (int i = 0; i < 5000; ++i)
    written += limiter.TryAcquire(log_level::kInfo, now) ? 1 : 0;
  CHECK(written < 1000);
  CHECK(limiter.TryAcquire(log_level::kWarning, now));
  CHECK(limiter.TakeDroppedCount() ==
        static_cast<std::uint64_t>(5000 - written));
  CHECK(limiter.TakeDroppedCount() == 0);
  CHECK(limiter.TryAcquire(log_level::kInfo, now + 1s));
}
