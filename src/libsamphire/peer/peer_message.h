#ifndef PEER_PEER_MESSAGE_H_
#define PEER_PEER_MESSAGE_H_

#include <cstdint>
#include <string>

namespace samphire {

// A message that arrived, signed and new.
struct peer_message {
  std::string sender;
  std::uint64_t incarnation = 0;
  // Where an answer is sent: IP:PORT by number.
  std::string from;
  std::string payload;
};

}  // namespace samphire

#endif  // PEER_PEER_MESSAGE_H_
