#ifndef FRONT_RESPONSE_WRITER_H_
#define FRONT_RESPONSE_WRITER_H_

#include <Poco/Net/HTTPServerResponse.h>

#include <string>
#include <string_view>

#include "front/response_status.h"

namespace samphire {

// Sets the headers that the entry itself adds to a response: result code, run
// state, configuration version and, for codes that invite a retry, the time
// after which to retry.
void SetStatusHeaders(Poco::Net::HTTPResponse& response,
                      const response_status& status);

// Sends the complete response to a request that the entry refuses: status line,
// headers and a JSON problem body. Throws Poco::Exception when sending fails.
void WriteRefusal(Poco::Net::HTTPServerResponse& response,
                  const response_status& status);
// Returns the same response as bytes, for a connection on which no request
// could be parsed. The response announces that the connection will be closed.
std::string RenderRefusal(const response_status& status);
// Sends the response head, as set so far, with `body` and its length.
void WriteBody(Poco::Net::HTTPServerResponse& response,
               std::string_view content_type,
               const std::string& body);

}  // namespace samphire

#endif  // FRONT_RESPONSE_WRITER_H_
