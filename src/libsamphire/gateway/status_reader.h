#ifndef GATEWAY_STATUS_READER_H_
#define GATEWAY_STATUS_READER_H_

#include <Poco/Net/HTTPResponse.h>

#include <optional>

#include "front/response_status.h"

namespace samphire {

// Reads the headers that another entry added to its response. Returns nullopt
// if the result code or the run state is missing or invalid: the response then
// doesn't come from an entry.
std::optional<response_status> ReadStatusHeaders(
    const Poco::Net::HTTPResponse& head);

// Whether the status belongs to the response of a request that ran, rather than
// to a refusal.
bool IsTargetResponse(const response_status& status);

}  // namespace samphire

#endif  // GATEWAY_STATUS_READER_H_
