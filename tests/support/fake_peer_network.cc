#include "support/fake_peer_network.h"

#include "support/fake_peer_transport.h"

namespace samphire {

void fake_peer_network::RunUntil(time_point until) {
  while (!in_flight_.empty() && in_flight_.begin()->first <= until) {
    now_ = in_flight_.begin()->first;
    const auto due = std::move(in_flight_.begin()->second);
    in_flight_.erase(in_flight_.begin());
    const auto found = transports_.find(due.to);
    if (found != transports_.end())
      found->second->Deliver(due.kind, due.message);
  }
  now_ = until;
}

void fake_peer_network::Post(const std::string& from, datagram sent) {
  ++messages_;
  payload_bytes_ += sent.message.payload.size();
  if (is_blocked(from, sent.to) || Chance(loss))
    return;
  if (Chance(duplicates))
    in_flight_.emplace(now_ + 2 * delay(from, sent.to), sent);
  in_flight_.emplace(now_ + delay(from, sent.to), std::move(sent));
}

bool fake_peer_network::Chance(double probability) {
  return probability > 0 &&
         std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

}  // namespace samphire
