#ifndef CTL_CTL_CALL_H_
#define CTL_CTL_CALL_H_

#include <map>
#include <string>

namespace samphire {

// One call of the operator's protocol.
struct ctl_call {
  std::string method;
  // Percent-encoded already.
  std::string path;
  std::map<std::string, std::string> parameters;
  std::string body;
};

// `text` as one segment of a path.
std::string PathSegment(const std::string& text);

}  // namespace samphire

#endif  // CTL_CTL_CALL_H_
