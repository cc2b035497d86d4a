#ifndef CTL_CALL_FAILURE_H_
#define CTL_CALL_FAILURE_H_

#include "base/enum_names.h"

namespace samphire {

// Why a call got no answer: it surely did not arrive, or it may have.
enum class call_failure { kNotSent, kAnswerLost };

inline constexpr enum_names<call_failure, 2> kCallFailureNames{{
    {call_failure::kNotSent, "not sent"},
    {call_failure::kAnswerLost, "answer lost"},
}};

}  // namespace samphire

#endif  // CTL_CALL_FAILURE_H_
