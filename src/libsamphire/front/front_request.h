#ifndef FRONT_FRONT_REQUEST_H_
#define FRONT_FRONT_REQUEST_H_

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "front/front_response.h"
#include "front/front_session.h"
#include "front/request_body.h"
#include "proxy/head_text.h"

namespace samphire {

// A request as its caller sent it: the headers are those of the checked head,
// byte for byte. The body is read with reliable detection of its end: one that
// breaks off is an error, never a shorter body. Used only by the thread of its
// connection.
class front_request final : public Poco::Net::HTTPServerRequest {
 public:
  // `head` must be complete.
  front_request(front_response& response,
                front_session& session,
                const Poco::Net::HTTPServerParams& params,
                const head_text& head,
                time_point arrived);

  // Determines how the body ends; called before anything else acts on the
  // request. Fails like CheckRequest().
  result<void> Check();

  // When the request came: with its connection, if that had to wait for a
  // thread, else when its head was complete.
  time_point arrived() const { return arrived_; }
  // The connection of the caller.
  Poco::Net::StreamSocket& socket() { return session_.socket(); }

  // Returns the body for reading as it arrives; it is valid for as long as the
  // request. Allows at most `limit` bytes, all of which must arrive before
  // `deadline`. Unless the body is read to its end, the connection can't serve
  // another request.
  request_body& OpenBody(std::uint64_t limit, time_point deadline);
  // Reads the whole body. Fails with kMalformedRequest, kBodyTooLarge or
  // kRequestTooSlow.
  result<std::string> ReadBody(std::uint64_t limit, time_point deadline);

  // Returns whether the request was read to its end and nothing beyond it, so
  // that the connection can serve another one.
  bool IsFullyRead() const;

  // Not implemented: its end could not be told from a break. Throws
  // Poco::NotImplementedException.
  std::istream& stream() override;
  const Poco::Net::SocketAddress& clientAddress() const override;
  const Poco::Net::SocketAddress& serverAddress() const override;
  const Poco::Net::HTTPServerParams& serverParams() const override;
  Poco::Net::HTTPServerResponse& response() const override;
  bool secure() const override { return false; }

 private:
  front_response& response_;
  front_session& session_;
  const Poco::Net::HTTPServerParams& params_;
  const time_point arrived_;
  const Poco::Net::SocketAddress client_address_;
  const Poco::Net::SocketAddress server_address_;
  body_framing framing_;
  std::optional<request_body> body_;
};

}  // namespace samphire

#endif  // FRONT_FRONT_REQUEST_H_
