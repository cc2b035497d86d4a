#ifndef TRAFFIC_ROUTED_TRANSPORT_H_
#define TRAFFIC_ROUTED_TRANSPORT_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "peer/peer_transport.h"

namespace samphire {

class routed_transport;

// Connects fake transports, whose addresses are the names of their entries.
struct transport_router {
  std::map<std::string, routed_transport*> transports;
  // Returns whether messages from one entry reach the other.
  std::function<bool(const std::string& from, const std::string& to)>
      is_reachable = [](const auto&, const auto&) { return true; };
  // Number of messages that could not be delivered.
  std::atomic<int> failures = 0;
  // Number of messages sent, and the size of their payloads in bytes.
  std::atomic<int> messages = 0;
  std::atomic<std::size_t> bytes = 0;
};

// A fake transport that delivers messages synchronously, on the sender's
// thread. Sending fails if the entry can't be reached, or if what it sends in
// turn can't be delivered, so that no test waits for a timeout. Registers
// itself while it exists; `router` must outlive it. Messages may be sent from
// any thread, while no transport is created or destroyed.
class routed_transport final : public peer_transport {
 public:
  routed_transport(transport_router& router, std::string name)
      : router_(router), name_(std::move(name)) {
    router_.transports[name_] = this;
  }
  ~routed_transport() override { router_.transports.erase(name_); }
  routed_transport(const routed_transport&) = delete;
  routed_transport& operator=(const routed_transport&) = delete;

  result<void> Send(const std::string& address,
                    message_kind kind,
                    const std::string& payload) override {
    ++router_.messages;
    router_.bytes += payload.size();
    const auto found = router_.transports.find(address);
    if (found == router_.transports.end() ||
        !router_.is_reachable(name_, address)) {
      ++router_.failures;
      return MakeError(result_code::kPeerUnreachable, address);
    }
    const int failures_before = router_.failures;
    const auto receive = found->second->HandlerOf(kind);
    if (receive)
      receive({name_, 1, name_, payload});
    if (router_.failures != failures_before)
      return MakeError(result_code::kPeerUnreachable, address);
    return Success();
  }
  void OnMessage(message_kind kind, handler receive) override {
    std::lock_guard guard(lock_);
    handlers_[kind] = std::move(receive);
  }

 private:
  handler HandlerOf(message_kind kind) {
    std::lock_guard guard(lock_);
    const auto found = handlers_.find(kind);
    return found == handlers_.end() ? nullptr : found->second;
  }

  transport_router& router_;
  const std::string name_;
  std::mutex lock_;
  std::map<message_kind, handler> handlers_;
};

}  // namespace samphire

#endif  // TRAFFIC_ROUTED_TRANSPORT_H_
