#ifndef ENTRY_OPERATOR_OPERATOR_CALL_H_
#define ENTRY_OPERATOR_OPERATOR_CALL_H_

#include <map>
#include <string>
#include <vector>

#include "base/result.h"

namespace samphire {

// One parsed HTTP call of an operator.
struct operator_call {
  std::string method;
  // The segments of the path, percent-decoded.
  std::vector<std::string> segments;
  // The query parameters, percent-decoded.
  std::map<std::string, std::string> parameters;
  std::string body;
};

// Parses a request's method and target; `target` is the raw text of the request
// line. The body is left empty. Fails with kMalformedRequest.
result<operator_call> ParseOperatorCall(const std::string& method,
                                        const std::string& target);

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_CALL_H_
