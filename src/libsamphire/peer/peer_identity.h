#ifndef PEER_PEER_IDENTITY_H_
#define PEER_PEER_IDENTITY_H_

#include <cstdint>
#include <string>

namespace samphire {

// The process that sent a peer request: the name of its instance and its
// incarnation, which is higher for each later process of the instance.
struct peer_identity {
  std::string instance;
  std::uint64_t incarnation = 0;
};

}  // namespace samphire

#endif  // PEER_PEER_IDENTITY_H_
