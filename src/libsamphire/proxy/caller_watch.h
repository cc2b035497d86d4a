#ifndef PROXY_CALLER_WATCH_H_
#define PROXY_CALLER_WATCH_H_

#include <Poco/Net/StreamSocket.h>

#include <optional>

namespace samphire {

// Detects whether the caller of a request has disconnected. Doesn't read from
// the connection. A default-constructed one stands for a request without a
// caller connection and never reports a disconnect.
class caller_watch {
 public:
  caller_watch() = default;
  explicit caller_watch(const Poco::Net::StreamSocket& socket);

  // Returns the file descriptor to poll for a hang-up, or -1 without a caller.
  int descriptor() const;
  // Returns at once.
  bool IsDisconnected() const;

 private:
  std::optional<Poco::Net::StreamSocket> socket_;
};

}  // namespace samphire

#endif  // PROXY_CALLER_WATCH_H_
