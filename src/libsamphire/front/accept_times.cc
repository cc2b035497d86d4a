#include "front/accept_times.h"

#include <chrono>

namespace samphire {

void accept_times::OnAccepted(const Poco::Net::StreamSocket& socket) {
  const auto now = std::chrono::steady_clock::now();
  std::lock_guard guard(lock_);
  accepted_[socket.impl()->sockfd()] = now;
}

std::size_t accept_times::waiting() const {
  std::lock_guard guard(lock_);
  return accepted_.size();
}

time_point accept_times::Take(const Poco::Net::StreamSocket& socket) {
  std::lock_guard guard(lock_);
  const auto node = accepted_.extract(socket.impl()->sockfd());
  return node ? node.mapped() : std::chrono::steady_clock::now();
}

}  // namespace samphire
