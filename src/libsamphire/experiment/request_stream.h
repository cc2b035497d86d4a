#ifndef EXPERIMENT_REQUEST_STREAM_H_
#define EXPERIMENT_REQUEST_STREAM_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_source.h"
#include "experiment/rate_step.h"

namespace samphire {

// Requests of one service and class with an arrival rate of their own. Arrivals
// are open-loop: they do not depend on whether earlier requests were answered.
struct request_stream {
  std::string service;
  std::string request_class;
  std::string method = "GET";
  // Each "{n}" is replaced by the number of the request.
  std::string path;
  // Measured from the intended send time of a request.
  milliseconds deadline{1000};
  // In order of time; no requests before the first step.
  std::vector<rate_step> rates;
  // The operation is not idempotent: each request carries an idempotency key,
  // and all its retries carry the same key.
  bool keyed = false;
  // Upper bound of the attempts of one request, the first one included.
  std::uint32_t max_attempts = 1;
  // Share of requests, 0 to 1, whose caller closes the connection after
  // `abandon_after` and retries.
  double abandon_share = 0;
  milliseconds abandon_after{5};
  // Size of the requested answer body in bytes, excluding its first line.
  std::uint64_t answer_bytes = 0;
  // Additional headers, sent unchanged, such as the directives of a simulated
  // target.
  std::vector<std::pair<std::string, std::string>> headers;
};

}  // namespace samphire

#endif  // EXPERIMENT_REQUEST_STREAM_H_
