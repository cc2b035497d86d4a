#ifndef BASE_RESULT_H_
#define BASE_RESULT_H_

#include <boost/outcome/boost_result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>

#include "base/error.h"

namespace samphire {

// Holds a value, or the error that explains why there is none. Reading the one
// that is not present throws.
template <typename T>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T,
    error,
    BOOST_OUTCOME_V2_NAMESPACE::policy::throw_bad_result_access<error, void>>;

// Builds an error from a code, an operator-facing detail and a JSON pointer.
inline error MakeError(result_code code,
                       std::string detail = {},
                       std::string pointer = {}) {
  return error{code, std::move(detail), std::move(pointer)};
}

// Returns the success value of result<void>.
inline auto Success() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace samphire

#endif  // BASE_RESULT_H_
