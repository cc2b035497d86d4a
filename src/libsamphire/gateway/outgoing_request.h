#ifndef GATEWAY_OUTGOING_REQUEST_H_
#define GATEWAY_OUTGOING_REQUEST_H_

#include <Poco/Net/HTTPRequest.h>

#include <string>
#include <string_view>

#include "base/clock_source.h"
#include "proxy/connection_use.h"

namespace samphire {

// A request to a target or peer.
struct outgoing_request {
  // Host and port to connect to.
  std::string address;
  Poco::Net::HTTPRequest head;
  // Refers to the body of the caller_request, which must outlive this.
  std::string_view body;
  // Latest time at which the response may arrive.
  time_point deadline;
  // Which connections the request may be sent on.
  connection_use connection = connection_use::kAny;
};

}  // namespace samphire

#endif  // GATEWAY_OUTGOING_REQUEST_H_
