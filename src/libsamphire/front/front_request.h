#ifndef FRONT_FRONT_REQUEST_H_
#define FRONT_FRONT_REQUEST_H_

#include <Poco/Net/HTTPServerRequestImpl.h>

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "front/front_session.h"

namespace samphire {

// A request whose body is known to be whole when it is used.
class front_request final : public Poco::Net::HTTPServerRequestImpl {
 public:
  front_request(Poco::Net::HTTPServerResponseImpl& response,
                front_session& session,
                Poco::Net::HTTPServerParams* params);

  // The whole body, or why there is none: kMalformedRequest, kBodyTooLarge,
  // kRequestTooSlow, kCallerGone. Afterwards, unless it was read whole, the
  // connection can't serve another request.
  result<std::string> ReadBody(std::uint64_t limit, time_point deadline);

  bool body_read() const { return body_read_; }

 private:
  front_session& session_;
  bool body_read_ = false;
};

}  // namespace samphire

#endif  // FRONT_FRONT_REQUEST_H_
