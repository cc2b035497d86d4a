#ifndef PROXY_CALLER_WATCH_H_
#define PROXY_CALLER_WATCH_H_

#include <Poco/Net/StreamSocket.h>

#include <optional>

namespace samphire {

// Tells whether the caller of a request still waits for its answer.
class caller_watch {
 public:
  caller_watch() = default;
  explicit caller_watch(const Poco::Net::StreamSocket& socket);

  // The descriptor to poll for a hang-up, or -1 where there is no caller.
  int descriptor() const;
  bool IsGone() const;

 private:
  std::optional<Poco::Net::StreamSocket> socket_;
};

}  // namespace samphire

#endif  // PROXY_CALLER_WATCH_H_
