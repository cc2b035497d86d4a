#ifndef CONFIG_REQUEST_CLASS_H_
#define CONFIG_REQUEST_CLASS_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "config/priority.h"
#include "config/request_kind.h"

namespace samphire {

// A class of requests of a service: which requests it matches and how they are
// handled.
struct request_class {
  std::string name;
  // The HTTP method, or "*" for any.
  std::string method;
  // The path pattern relative to the service. "*" matches one segment; "**" as
  // the last segment matches any number of segments, including none.
  std::string path;
  // Whether a request may be executed more than once. Requests of a class that
  // is not repeatable have at-most-once semantics.
  bool repeatable = true;
  // Whether a change to this class needs the approval of a second operator.
  bool witnessed = false;
  samphire::priority priority = priority::kNormal;
  request_kind kind = request_kind::kInteractive;
  // The deadline of a request without a deadline header, and the longest
  // deadline that the header may request.
  milliseconds deadline{0};
  milliseconds max_deadline{0};
  // The most requests of this class that may wait for a slot at one entry.
  std::uint32_t queue_limit = 0;

  bool operator==(const request_class&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_REQUEST_CLASS_H_
