#ifndef GATEWAY_BUFFERED_RESPONSE_H_
#define GATEWAY_BUFFERED_RESPONSE_H_

#include <Poco/Net/HTTPResponse.h>

#include <string>

namespace samphire {

// A complete response, short enough to be inspected before it is sent on.
struct buffered_response {
  Poco::Net::HTTPResponse head;
  std::string body;
};

}  // namespace samphire

#endif  // GATEWAY_BUFFERED_RESPONSE_H_
