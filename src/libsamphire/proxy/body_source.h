#ifndef PROXY_BODY_SOURCE_H_
#define PROXY_BODY_SOURCE_H_

#include <cstddef>
#include <span>

#include "base/result.h"

namespace samphire {

// Where a body comes from, piece by piece.
class body_source {
 public:
  virtual ~body_source() = default;

  // Fills `buffer` with what has come; 0 only at the true end of the body.
  virtual result<std::size_t> Read(std::span<char> buffer) = 0;
};

}  // namespace samphire

#endif  // PROXY_BODY_SOURCE_H_
