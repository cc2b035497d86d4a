#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <string>

#include "base/result_code.h"

namespace samphire {

// Describes why an operation was refused or failed.
struct error {
  result_code code = result_code::kOk;
  // Details for an operator beyond the meaning of the code. Must not contain
  // secrets.
  std::string detail;
  // The JSON pointer (RFC 6901) of the invalid value, if the error is about a
  // JSON document; otherwise empty.
  std::string pointer;
};

}  // namespace samphire

#endif  // BASE_ERROR_H_
