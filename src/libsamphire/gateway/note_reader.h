#ifndef GATEWAY_NOTE_READER_H_
#define GATEWAY_NOTE_READER_H_

#include <Poco/Net/HTTPResponse.h>

#include <optional>

#include "front/response_status.h"

namespace samphire {

// Reads the headers that another entry added to its response; nothing if they
// are missing or invalid, so that the response isn't an entry's.
std::optional<response_status> ReadNote(const Poco::Net::HTTPResponse& head);

// Whether the note belongs to the response of a request that ran, rather than
// to a refusal.
bool IsTargetResponse(const response_status& note);

}  // namespace samphire

#endif  // GATEWAY_NOTE_READER_H_
