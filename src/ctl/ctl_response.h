#ifndef CTL_CTL_RESPONSE_H_
#define CTL_CTL_RESPONSE_H_

#include <Poco/JSON/Object.h>

#include <optional>
#include <string>

#include "base/error.h"
#include "ctl/call_failure.h"

namespace samphire {

// The outcome of one call: the response of an entry, or the reason why there is
// none.
struct ctl_response {
  // The result code of the entry with its detail; kEntryUnreachable if there is
  // no response.
  error outcome;
  // The complete JSON body of the response; null without one.
  Poco::JSON::Object::Ptr body;
  // Set if no usable response arrived.
  std::optional<call_failure> failure;
  // The URL of the entry that was called last.
  std::string url;
};

}  // namespace samphire

#endif  // CTL_CTL_RESPONSE_H_
