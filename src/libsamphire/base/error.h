#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <string>

#include "base/result_code.h"

namespace samphire {

// Why something was refused or failed.
struct error {
  result_code code = result_code::kOk;
  // What an operator needs besides the code's meaning; never a secret.
  std::string detail;
  // The JSON pointer of the value at fault, where a file is.
  std::string pointer;
};

}  // namespace samphire

#endif  // BASE_ERROR_H_
