#ifndef FRONT_FRONT_REQUEST_H_
#define FRONT_FRONT_REQUEST_H_

#include <Poco/Net/HTTPServerRequestImpl.h>

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "front/front_session.h"
#include "front/request_body.h"

namespace samphire {

// A request whose body is read with reliable detection of its end: a body that
// breaks off is an error, never a shorter body. Used only by the thread of its
// connection.
class front_request final : public Poco::Net::HTTPServerRequestImpl {
 public:
  front_request(Poco::Net::HTTPServerResponseImpl& response,
                front_session& session,
                Poco::Net::HTTPServerParams* params,
                time_point arrived);

  // When the request came: with its connection, if that had to wait for a
  // thread, else when its head was complete.
  time_point arrived() const { return arrived_; }

  // Returns the body for reading as it arrives; it is valid for as long as the
  // request. Allows at most `limit` bytes, all of which must arrive before
  // `deadline`. Fails with kMalformedRequest if the length headers are invalid
  // or contradictory. Unless the body is read to its end, the connection can't
  // serve another request.
  result<request_body*> OpenBody(std::uint64_t limit, time_point deadline);
  // Reads the whole body. Fails with kMalformedRequest, kBodyTooLarge or
  // kRequestTooSlow.
  result<std::string> ReadBody(std::uint64_t limit, time_point deadline);

  // Returns whether the request was read to its end and nothing beyond it, so
  // that the connection can serve another one.
  bool IsFullyRead() const;

 private:
  front_session& session_;
  const time_point arrived_;
  std::optional<request_body> body_;
};

}  // namespace samphire

#endif  // FRONT_FRONT_REQUEST_H_
