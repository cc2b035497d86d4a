#ifndef CONFIG_LIMITS_H_
#define CONFIG_LIMITS_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Limits that apply to the whole deployment.
struct limits {
  // How long a caller may use the result of a look-up.
  milliseconds lookup_ttl{2000};
  // How long work may be started on a borrowed slot, counted from the request
  // for the loan.
  milliseconds loan_ttl{250};
  // The maximum drift between the clocks of two instances during a loan.
  milliseconds clock_drift{20};
  // The most retries, as a percentage of first attempts.
  std::uint32_t retry_budget_percent = 10;
  // The most attempts of one request, including the first.
  std::uint32_t max_attempts = 3;
  // The largest request body, and the largest size of all request headers.
  std::uint64_t max_body_bytes = 1 << 20;
  std::uint32_t max_header_bytes = 16384;
  // The percentage of a region's slots that bulk work may occupy.
  std::uint32_t bulk_percent = 50;
  // How long the load on a target is ramped up after a cold start.
  milliseconds cold_start_ramp{5000};
  // How long ledger records are kept to recognize repeated requests.
  milliseconds ledger_retention{3'600'000};
  // The number of shards into which the ledger is divided.
  std::uint32_t ledger_shards = 8;
  // An entry refuses requests that are not repeatable if neither the platform
  // nor a peer has confirmed its configuration version for this long.
  milliseconds max_configuration_age{30'000};

  bool operator==(const limits&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_LIMITS_H_
