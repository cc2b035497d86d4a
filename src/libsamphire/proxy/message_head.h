#ifndef PROXY_MESSAGE_HEAD_H_
#define PROXY_MESSAGE_HEAD_H_

#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <string>
#include <vector>

#include "proxy/head_text.h"

namespace samphire {

// Sets the request to the complete head, byte for byte: only the spaces and
// tabs around values are left out.
void SetFromHead(const head_text& head, Poco::Net::HTTPRequest& request);
// The same for a response.
void SetFromHead(const head_text& head, Poco::Net::HTTPResponse& response);

// Returns all values of a header, in their order. Names are compared without
// regard to case.
std::vector<std::string> ValuesOf(const Poco::Net::NameValueCollection& headers,
                                  const std::string& name);

// Returns the options that the Connection headers list, in lower case.
std::vector<std::string> ConnectionOptions(
    const Poco::Net::NameValueCollection& headers);

// Whether the sender of the message keeps the connection open behind it: unless
// it says otherwise with HTTP/1.1, and only if it says so with HTTP/1.0.
bool KeepsConnection(const Poco::Net::HTTPMessage& message);

}  // namespace samphire

#endif  // PROXY_MESSAGE_HEAD_H_
