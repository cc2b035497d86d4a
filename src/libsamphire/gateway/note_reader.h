#ifndef GATEWAY_NOTE_READER_H_
#define GATEWAY_NOTE_READER_H_

#include <Poco/Net/HTTPResponse.h>

#include <optional>

#include "front/response_status.h"

namespace samphire {

// What another entry said on its answer; nothing if it was no entry's.
std::optional<response_status> ReadNote(const Poco::Net::HTTPResponse& head);

// Whether the note goes with the answer of a run rather than with a refusal.
bool IsAnswer(const response_status& note);

}  // namespace samphire

#endif  // GATEWAY_NOTE_READER_H_
