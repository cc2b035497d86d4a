#ifndef CTL_CTL_CALL_H_
#define CTL_CTL_CALL_H_

#include <map>
#include <string>

namespace samphire {

// One HTTP call of the operator protocol.
struct ctl_call {
  std::string method;
  // The path without the query, already percent-encoded.
  std::string path;
  // The query parameters, not yet percent-encoded.
  std::map<std::string, std::string> parameters;
  std::string body;
};

// Returns `text` percent-encoded as a single segment of a path.
std::string PathSegment(const std::string& text);

}  // namespace samphire

#endif  // CTL_CTL_CALL_H_
