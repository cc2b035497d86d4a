#include "metrics/metrics.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

TEST_CASE("refusals and retries are counted by reason") {
  metrics registry;
  registry.CountRefusal(result_code::kQueueFull);
  registry.CountRefusal(result_code::kQueueFull);
  registry.CountRetry(result_code::kTargetUnreachable);
  CHECK(registry.counter("refusals_total", "reason=\"queue-full\"") == 2);
  const auto text = registry.Render();
  CHECK(text.find("samphire_refusals_total{reason=\"queue-full\"} 2\n") !=
        std::string::npos);
  CHECK(
      text.find("samphire_retries_total{reason=\"target-unreachable\"} 1\n") !=
      std::string::npos);
}

TEST_CASE("quantile estimates of a uniform stream are accurate") {
  latency_summary summary;
  for (int i = 0; i < 10000; ++i)
    summary.Add(std::chrono::microseconds((i * 7919) % 10000));
  CHECK(summary.quantile_seconds(0.5) == Approx(0.005).epsilon(0.05));
  CHECK(summary.quantile_seconds(0.99) == Approx(0.0099).epsilon(0.05));
}
