#ifndef CTL_CALL_FAILURE_H_
#define CTL_CALL_FAILURE_H_

#include "base/enum_names.h"

namespace samphire {

// Why a call to an entry returned no usable response. kNotSent: the connection
// failed, so the request certainly did not reach the entry. kResponseLost: the
// request may have reached the entry and may have been executed.
enum class call_failure { kNotSent, kResponseLost };

inline constexpr enum_names<call_failure, 2> kCallFailureNames{{
    {call_failure::kNotSent, "not sent"},
    {call_failure::kResponseLost, "answer lost"},
}};

}  // namespace samphire

#endif  // CTL_CALL_FAILURE_H_
