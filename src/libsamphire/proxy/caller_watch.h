#ifndef PROXY_CALLER_WATCH_H_
#define PROXY_CALLER_WATCH_H_

#include <Poco/Net/StreamSocket.h>

#include <optional>

#include "base/cancel_signal.h"

namespace samphire {

// Detects whether the caller of a request has disconnected, or the entry breaks
// off its requests because it ends. Doesn't read from the connection. A
// default-constructed one stands for a request without a caller connection and
// never reports a disconnect.
class caller_watch {
 public:
  caller_watch() = default;
  explicit caller_watch(const Poco::Net::StreamSocket& socket);
  // `cut` happens when the request is to be broken off; it must outlive this
  // object.
  caller_watch(const Poco::Net::StreamSocket& socket, const cancel_signal& cut);

  // Returns the file descriptor to poll for a hang-up, or -1 without a caller.
  int descriptor() const;
  // Returns the file descriptor to poll for the time at which the request is
  // to be broken off, or -1 if there is none.
  int cut_descriptor() const {
    return cut_ == nullptr ? -1 : cut_->descriptor();
  }
  // Returns at once.
  bool IsDisconnected() const;

 private:
  std::optional<Poco::Net::StreamSocket> socket_;
  const cancel_signal* cut_ = nullptr;
};

}  // namespace samphire

#endif  // PROXY_CALLER_WATCH_H_
