#ifndef GATEWAY_OUTGOING_REQUEST_H_
#define GATEWAY_OUTGOING_REQUEST_H_

#include <Poco/Net/HTTPRequest.h>

#include <string>
#include <string_view>

#include "base/clock_source.h"

namespace samphire {

// What is sent to a target or a peer.
struct outgoing_request {
  std::string address;
  Poco::Net::HTTPRequest head;
  std::string_view body;
  time_point deadline;
  // Never on a connection that was used before.
  bool fresh_connection = false;
};

}  // namespace samphire

#endif  // GATEWAY_OUTGOING_REQUEST_H_
