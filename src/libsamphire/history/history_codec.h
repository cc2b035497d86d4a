#ifndef HISTORY_HISTORY_CODEC_H_
#define HISTORY_HISTORY_CODEC_H_

#include <string>

#include "base/result.h"
#include "history/history_event.h"

namespace samphire {

// One event as one line of JSON, without the line's end.
std::string EncodeEvent(const history_event& event);

// The event of a line. A field that is missing, unknown or of another type is
// refused: a checker that guesses would call a broken history clean.
result<history_event> DecodeEvent(const std::string& line);

}  // namespace samphire

#endif  // HISTORY_HISTORY_CODEC_H_
