#ifndef PROXY_BODY_SOURCE_H_
#define PROXY_BODY_SOURCE_H_

#include <cstddef>
#include <span>

#include "base/result.h"

namespace samphire {

// Source of a message body that is read incrementally, by one thread at a time.
class body_source {
 public:
  virtual ~body_source() = default;

  // Copies bytes that have arrived into `buffer` and returns their number; 0
  // only at the actual end of the body. Fails if the body is incomplete.
  virtual result<std::size_t> Read(std::span<char> buffer) = 0;
};

}  // namespace samphire

#endif  // PROXY_BODY_SOURCE_H_
