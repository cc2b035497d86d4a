#ifndef PEER_PEER_REQUEST_H_
#define PEER_PEER_REQUEST_H_

#include <string>

namespace samphire {

// The parts of an HTTP request from one entry to another that a peer token
// authenticates.
struct peer_request {
  std::string method;
  // The request target of HTTP: path and query.
  std::string request_target;
  // The address that the request is sent to: numeric IP:PORT.
  std::string receiver_address;
  // Whatever else must not be changed in transit, such as a digest of the body.
  std::string signed_content;
};

}  // namespace samphire

#endif  // PEER_PEER_REQUEST_H_
