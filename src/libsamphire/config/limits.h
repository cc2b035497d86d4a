#ifndef CONFIG_LIMITS_H_
#define CONFIG_LIMITS_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Bounds that hold for the whole deployment.
struct limits {
  // How long a caller may use the answer of a look-up.
  milliseconds lookup_ttl{2000};
  // How long a borrowed slot may start work, counted from the ask.
  milliseconds loan_ttl{250};
  // Allowed error between two instances' clocks over a loan.
  milliseconds clock_drift{20};
  // Retries may add at most this share to the first attempts.
  std::uint32_t retry_budget_percent = 10;
  std::uint32_t max_attempts = 3;
  std::uint64_t max_body_bytes = 1 << 20;
  std::uint32_t max_header_bytes = 16384;
  // Which share of a region's slots bulk work may hold.
  std::uint32_t bulk_percent = 50;
  // How long a target is warmed up after a cold start.
  milliseconds cold_start_ramp{5000};
  // How long ledger entries are kept for repeats.
  milliseconds ledger_retention{3'600'000};
  std::uint32_t ledger_shards = 8;
  // After this time without contact to platform or peers an entry refuses
  // requests that may not be repeated.
  milliseconds max_configuration_age{30'000};

  bool operator==(const limits&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_LIMITS_H_
