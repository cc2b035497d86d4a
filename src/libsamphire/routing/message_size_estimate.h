#ifndef ROUTING_MESSAGE_SIZE_ESTIMATE_H_
#define ROUTING_MESSAGE_SIZE_ESTIMATE_H_

#include <cstdint>

namespace samphire {

// Estimates the total body size of a request and its response on one route, in
// bytes. Not thread-safe.
class message_size_estimate {
 public:
  void AddSample(std::uint64_t bytes);
  // Returns whether an exchange with a request body of `request_bytes` is
  // expected to be large, that is, to have 16 KiB or more in both bodies
  // together.
  bool IsLarge(std::uint64_t request_bytes) const;

 private:
  double bytes_ = 0;
};

}  // namespace samphire

#endif  // ROUTING_MESSAGE_SIZE_ESTIMATE_H_
