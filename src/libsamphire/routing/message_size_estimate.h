#ifndef ROUTING_MESSAGE_SIZE_ESTIMATE_H_
#define ROUTING_MESSAGE_SIZE_ESTIMATE_H_

#include <cstdint>

namespace samphire {

// How many bytes a request of one route and its answer take together.
class message_size_estimate {
 public:
  void Learn(std::uint64_t bytes);
  // Whether an exchange whose request has `request_bytes` is large.
  bool IsLarge(std::uint64_t request_bytes) const;

 private:
  double bytes_ = 0;
};

}  // namespace samphire

#endif  // ROUTING_MESSAGE_SIZE_ESTIMATE_H_
