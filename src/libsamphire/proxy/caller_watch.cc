#include "proxy/caller_watch.h"

#include <poll.h>

namespace samphire {

caller_watch::caller_watch(const Poco::Net::StreamSocket& socket)
    : socket_(socket) {}

caller_watch::caller_watch(const Poco::Net::StreamSocket& socket,
                           const cancel_signal& cut)
    : socket_(socket), cut_(&cut) {}

int caller_watch::descriptor() const {
  return socket_ ? socket_->impl()->sockfd() : -1;
}

// The request of a caller that has disconnected keeps a slot of a target busy,
// most of all under peak load, when most callers cancel. A disconnect shows as
// a hang-up of the connection; polling for the hang-up alone leaves a pipelined
// next request unread.
bool caller_watch::IsDisconnected() const {
  if (!socket_)
    return false;
  pollfd entry{descriptor(), POLLRDHUP, 0};
  return poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace samphire
