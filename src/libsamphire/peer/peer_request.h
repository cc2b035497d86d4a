#ifndef PEER_PEER_REQUEST_H_
#define PEER_PEER_REQUEST_H_

#include <string>

namespace samphire {

// What a token vouches for: one HTTP request from one entry to another.
struct peer_request {
  std::string method;
  // Path and query.
  std::string target;
  // The address that the request is sent to: IP:PORT by number.
  std::string receiver;
  // What else must not be changed on the way, such as a digest of the body.
  std::string content;
};

}  // namespace samphire

#endif  // PEER_PEER_REQUEST_H_
