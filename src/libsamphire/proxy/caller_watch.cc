#include "proxy/caller_watch.h"

#include <poll.h>

namespace samphire {

caller_watch::caller_watch(const Poco::Net::StreamSocket& socket)
    : socket_(socket) {}

int caller_watch::descriptor() const {
  return socket_ ? socket_->impl()->sockfd() : -1;
}

// A caller that gave up keeps a slot busy at a target, in a downpour most of
// all, when callers give up most. It shows as a closed connection; asking for
// the hang-up alone leaves a pipelined next request unread.
bool caller_watch::IsGone() const {
  if (!socket_)
    return false;
  pollfd entry{descriptor(), POLLRDHUP, 0};
  return poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace samphire
