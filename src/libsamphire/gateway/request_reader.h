#ifndef GATEWAY_REQUEST_READER_H_
#define GATEWAY_REQUEST_READER_H_

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "gateway/caller_request.h"

namespace samphire {

// Parses and validates the head of a request to /v1/services/S/PATH; the body
// remains to be read. `home_region` is empty for a request that comes from its
// caller, whose address then determines the region. Returns kUnknownPath,
// kUnknownService, kBadDeadline, kIdempotencyKeyMissing or kBadIdempotencyKey
// for a request that can't be served.
result<caller_request> ReadRequestHead(
    const Poco::Net::HTTPServerRequest& request,
    deployment_ptr present,
    const std::string& home_region,
    time_point now);

// Sets the body, and the fingerprint that is computed from it.
void SetBody(caller_request& request, std::string body);

}  // namespace samphire

#endif  // GATEWAY_REQUEST_READER_H_
