#ifndef GATEWAY_REQUEST_READER_H_
#define GATEWAY_REQUEST_READER_H_

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "gateway/caller_request.h"

namespace samphire {

// Reads and checks the head of a request to /v1/services/S/PATH; the body is
// left to be read. `home_region` is empty for a request of a caller, whose
// address then tells it.
result<caller_request> ReadRequestHead(
    const Poco::Net::HTTPServerRequest& request,
    deployment_ptr present,
    const std::string& home_region,
    time_point now);

// Gives the request its body and what follows from it.
void SetBody(caller_request& request, std::string body);

}  // namespace samphire

#endif  // GATEWAY_REQUEST_READER_H_
