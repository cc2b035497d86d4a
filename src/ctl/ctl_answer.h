#ifndef CTL_CTL_ANSWER_H_
#define CTL_CTL_ANSWER_H_

#include <Poco/JSON/Object.h>

#include <optional>
#include <string>

#include "base/error.h"
#include "ctl/call_failure.h"

namespace samphire {

// What came of one call: the entry's answer, or why there is none.
struct ctl_answer {
  error outcome;
  // The whole JSON of the answer; null without one.
  Poco::JSON::Object::Ptr body;
  std::optional<call_failure> failure;
  // Who was asked last.
  std::string url;
};

}  // namespace samphire

#endif  // CTL_CTL_ANSWER_H_
