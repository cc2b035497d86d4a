#ifndef MEMBERSHIP_PING_MESSAGE_H_
#define MEMBERSHIP_PING_MESSAGE_H_

#include <cstdint>

namespace samphire {

// kPing: checks that the receiver runs, which responds with a kPingAck of the
// same id. Carries no gossip, so that it costs a third of a probe.
struct ping_message {
  std::uint64_t id = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

}  // namespace samphire

#endif  // MEMBERSHIP_PING_MESSAGE_H_
