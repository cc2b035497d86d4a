#ifndef EXPERIMENT_REQUEST_STREAM_H_
#define EXPERIMENT_REQUEST_STREAM_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_source.h"
#include "experiment/rate_step.h"

namespace samphire {

// Requests of one kind that come at a rate of their own, answered or not.
struct request_stream {
  std::string service;
  std::string request_class;
  std::string method = "GET";
  // "{n}" becomes the number of the request.
  std::string path;
  milliseconds deadline{1000};
  std::vector<rate_step> rates;
  // Not repeatable: each request carries an idempotency key, and every repeat
  // of it the same one.
  bool keyed = false;
  // The most sendings of one request.
  std::uint32_t max_attempts = 1;
  // The share whose caller closes the connection after `abandon_after` and
  // asks again.
  double abandon_share = 0;
  milliseconds abandon_after{5};
  // Bytes that the answer is to hold besides its first line.
  std::uint64_t answer_bytes = 0;
  // Sent as they are, such as the stand-in's orders.
  std::vector<std::pair<std::string, std::string>> headers;
};

}  // namespace samphire

#endif  // EXPERIMENT_REQUEST_STREAM_H_
