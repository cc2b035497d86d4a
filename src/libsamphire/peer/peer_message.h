#ifndef PEER_PEER_MESSAGE_H_
#define PEER_PEER_MESSAGE_H_

#include <cstdint>
#include <string>

namespace samphire {

// A received message whose signature was verified and that is not a replay.
struct peer_message {
  // Name of the sending instance.
  std::string sender;
  // Incarnation of the sending process.
  std::uint64_t incarnation = 0;
  // The address that a response is sent to: numeric IP:PORT.
  std::string from;
  std::string payload;
};

}  // namespace samphire

#endif  // PEER_PEER_MESSAGE_H_
