#ifndef GATEWAY_RESPONSE_SINK_H_
#define GATEWAY_RESPONSE_SINK_H_

#include <Poco/Net/HTTPResponse.h>

#include <string_view>

#include "front/response_status.h"
#include "proxy/body_framing.h"

namespace samphire {

// Destination of the response to one request: its caller, or the entry that
// forwarded the request. The order of calls is Begin once, then Write any
// number of times, then End or Abort; or Refuse alone. Used by the thread of
// one request; writes block while the receiver doesn't read.
class response_sink {
 public:
  virtual ~response_sink() = default;

  // Sends the head. `head` is the target's; its hop-by-hop headers are left
  // out.
  virtual void Begin(const Poco::Net::HTTPResponse& head,
                     const body_framing& framing,
                     const response_status& status) = 0;
  // Sends a part of the body. Returns false if the caller no longer accepts it.
  virtual bool Write(std::string_view bytes) = 0;
  // Completes the response.
  virtual void End() = 0;
  // Ends the response so that the receiver can't take what was written for a
  // complete one.
  virtual void Abort() = 0;
  // Sends a refusal made by the entry itself, with the reason in `status`.
  virtual void Refuse(const response_status& status) = 0;
  // Whether the head of a response, or a refusal, has been sent.
  virtual bool begun() const = 0;
};

}  // namespace samphire

#endif  // GATEWAY_RESPONSE_SINK_H_
