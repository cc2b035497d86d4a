#ifndef ENTRY_OPERATOR_OPERATOR_CALL_H_
#define ENTRY_OPERATOR_OPERATOR_CALL_H_

#include <map>
#include <string>
#include <vector>

#include "base/result.h"

namespace samphire {

// One call of an operator, taken apart.
struct operator_call {
  std::string method;
  // The path's segments, decoded.
  std::vector<std::string> segments;
  std::map<std::string, std::string> parameters;
  std::string body;
};

// Takes a request's method and target apart; `target` is as it was sent.
result<operator_call> ParseOperatorCall(const std::string& method,
                                        const std::string& target);

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_CALL_H_
