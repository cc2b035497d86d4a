#ifndef TRAFFIC_DIRECT_TRANSPORT_H_
#define TRAFFIC_DIRECT_TRANSPORT_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "peer/peer_transport.h"

namespace samphire {

// A fake transport that delivers every message to the connected transport
// synchronously, on the sender's thread. With `hold_messages` it keeps messages
// until the test delivers them.
class direct_transport final : public peer_transport {
 public:
  explicit direct_transport(std::string address)
      : address_(std::move(address)) {}

  void ConnectTo(direct_transport& other) { other_ = &other; }

  result<void> Send(const std::string& /*address*/,
                    message_kind kind,
                    const std::string& payload) override {
    sent.push_back(kind);
    if (hold_messages)
      held_messages_.emplace_back(kind, payload);
    else
      Deliver(kind, payload);
    return Success();
  }
  void OnMessage(message_kind kind, handler receive) override {
    handlers_[kind] = std::move(receive);
  }
  void DeliverHeld() {
    for (const auto& [kind, payload] : std::exchange(held_messages_, {}))
      Deliver(kind, payload);
  }

  bool hold_messages = false;
  // Kinds of all messages sent so far.
  std::vector<message_kind> sent;

 private:
  void Deliver(message_kind kind, const std::string& payload) {
    const auto& receive = other_->handlers_[kind];
    if (receive)
      receive({address_, 1, address_, payload});
  }

  const std::string address_;
  direct_transport* other_ = nullptr;
  std::map<message_kind, handler> handlers_;
  std::vector<std::pair<message_kind, std::string>> held_messages_;
};

}  // namespace samphire

#endif  // TRAFFIC_DIRECT_TRANSPORT_H_
