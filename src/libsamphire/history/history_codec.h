#ifndef HISTORY_HISTORY_CODEC_H_
#define HISTORY_HISTORY_CODEC_H_

#include <string>

#include "base/result.h"
#include "history/history_event.h"

namespace samphire {

// Encodes an event as one line of JSON, without the line end.
std::string EncodeEvent(const history_event& event);

// Decodes the event of a line. A field that is missing, unknown or of the wrong
// type is an error (kSchemaViolation; kJsonSyntax for malformed JSON): a
// checker that guessed would report an invalid history as clean.
result<history_event> DecodeEvent(const std::string& line);

}  // namespace samphire

#endif  // HISTORY_HISTORY_CODEC_H_
