#ifndef GATEWAY_ANSWER_SINK_H_
#define GATEWAY_ANSWER_SINK_H_

#include <Poco/Net/HTTPResponse.h>

#include <string_view>

#include "front/response_status.h"
#include "proxy/body_framing.h"

namespace samphire {

// Where the answer to one request goes: its caller, or the entry that passed
// it here. Begin once, then Write, then End or Abort.
class answer_sink {
 public:
  virtual ~answer_sink() = default;

  // `head` is the target's; hop-by-hop headers are left out.
  virtual void Begin(const Poco::Net::HTTPResponse& head,
                     const body_framing& framing,
                     const response_status& note) = 0;
  // False when the caller no longer takes it.
  virtual bool Write(std::string_view bytes) = 0;
  virtual void End() = 0;
  // Makes sure that what was written can't be taken for a whole answer.
  virtual void Abort() = 0;
  // An answer of the entry's own.
  virtual void Refuse(const response_status& note) = 0;
  virtual bool begun() const = 0;
};

}  // namespace samphire

#endif  // GATEWAY_ANSWER_SINK_H_
