#ifndef CONFIG_REQUEST_CLASS_H_
#define CONFIG_REQUEST_CLASS_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "config/priority.h"
#include "config/request_kind.h"

namespace samphire {

// How one kind of request of a service is to be treated.
struct request_class {
  std::string name;
  // The HTTP method, or "*" for any.
  std::string method;
  // The path below the service. "*" stands for one segment, a last "**" for
  // any number of segments, none included.
  std::string path;
  // A request of a class that is not repeatable runs at most once.
  bool repeatable = true;
  // A change to this class needs a second operator's consent.
  bool witnessed = false;
  samphire::priority priority = priority::kNormal;
  request_kind kind = request_kind::kInteractive;
  // The time a caller has without a header of its own, and the longest that
  // the header may ask for.
  milliseconds deadline{0};
  milliseconds max_deadline{0};
  // The most requests that wait for a slot at one entry.
  std::uint32_t queue_limit = 0;

  bool operator==(const request_class&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_REQUEST_CLASS_H_
