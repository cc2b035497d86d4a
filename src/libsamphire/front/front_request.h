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

// A request whose body's end is known for certain.
class front_request final : public Poco::Net::HTTPServerRequestImpl {
 public:
  front_request(Poco::Net::HTTPServerResponseImpl& response,
                front_session& session,
                Poco::Net::HTTPServerParams* params);

  // The body, to be read as it comes; lives as long as the request. At most
  // `limit` bytes, all of them before `deadline`. kMalformedRequest where its
  // length is unclear. Unless it is read to its end, the connection can't
  // serve another request.
  result<request_body*> OpenBody(std::uint64_t limit, time_point deadline);
  // The whole body at once.
  result<std::string> ReadBody(std::uint64_t limit, time_point deadline);

  // Whether the request was read to its end, so that the connection can serve
  // another one.
  bool IsConsumed() const;

 private:
  front_session& session_;
  std::optional<request_body> body_;
};

}  // namespace samphire

#endif  // FRONT_FRONT_REQUEST_H_
