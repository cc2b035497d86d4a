#ifndef ROUTING_TOKEN_BUCKET_H_
#define ROUTING_TOKEN_BUCKET_H_

#include "base/clock_source.h"

namespace samphire {

// A token bucket with fractional tokens. Not thread-safe.
class token_bucket {
 public:
  token_bucket(double tokens, time_point now)
      : tokens_(tokens), refilled_(now) {}

  // Adds the tokens accrued since the last call at `rate` per second, up to
  // `capacity`.
  void Refill(double rate, double capacity, time_point now);
  // Takes one token. Returns false if less than one is left.
  bool TryTake();
  // Adds tokens up to `capacity`.
  void Add(double tokens, double capacity);
  // Removes `tokens`, which must not exceed `tokens()`.
  void Remove(double tokens) { tokens_ -= tokens; }

  double tokens() const { return tokens_; }

 private:
  double tokens_;
  time_point refilled_;
};

}  // namespace samphire

#endif  // ROUTING_TOKEN_BUCKET_H_
