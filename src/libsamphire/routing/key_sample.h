#ifndef ROUTING_KEY_SAMPLE_H_
#define ROUTING_KEY_SAMPLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/clock_source.h"

namespace samphire {

// The keys of a route's recent requests at one entry, by their hashes. Orders
// keys on a line from 0 to 1 on which each key takes as much space as it has
// requests. Not thread-safe.
class key_sample {
 public:
  // Adds a request for a key, and returns its place on the line: within the
  // key's space, at `offset` of it, from 0 to below 1. If offsets are uniformly
  // distributed, so are the places, from the first request on and whatever the
  // demand for keys: the place is the rank among requests of the same demand.
  double Add(std::uint64_t key_hash, double offset, time_point now);
  // Whether no request is remembered that is recent at `now`.
  bool IsOutdated(time_point now) const;

 private:
  struct request {
    std::uint64_t key_hash = 0;
    time_point at;
  };

  void Forget(time_point now);

  // In order of time.
  std::deque<request> requests_;
};

}  // namespace samphire

#endif  // ROUTING_KEY_SAMPLE_H_
