#ifndef BASE_BODY_TIME_LIMITS_H_
#define BASE_BODY_TIME_LIMITS_H_

#include "base/clock_source.h"

namespace samphire {

// Time limits for reading the body of a response of the platform's store or a
// peer, once its head has arrived. A large value takes longer on a small link
// than a response normally does. A call that was abandoned in the middle of the
// body would have to be repeated, and each repeat would end there as well.

// Maximum time without any byte.
inline constexpr milliseconds kMaxBodyPause{1000};
// Maximum time for the whole body.
inline constexpr milliseconds kMaxBodyTime{4000};

}  // namespace samphire

#endif  // BASE_BODY_TIME_LIMITS_H_
