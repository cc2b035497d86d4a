#ifndef GATEWAY_CALLER_RESPONSE_H_
#define GATEWAY_CALLER_RESPONSE_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <ostream>

#include "gateway/response_sink.h"

namespace samphire {

// On which responses the entry's own headers are sent.
enum class status_headers { kAlways, kOnRefusals };

// The response on the connection on which the request arrived. Must not outlive
// `request` and `response`; used by the thread of that request.
class caller_response final : public response_sink {
 public:
  caller_response(Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& response,
                  status_headers headers = status_headers::kAlways);

  void Begin(const Poco::Net::HTTPResponse& head,
             const body_framing& framing,
             const response_status& status) override;
  bool Write(std::string_view bytes) override;
  void End() override;
  void Abort() override;
  void Refuse(const response_status& status) override;
  bool begun() const override { return stream_ != nullptr || refused_; }

  // The caller's connection, for a caller_watch.
  Poco::Net::StreamSocket socket() const { return socket_; }

 private:
  Poco::Net::HTTPServerResponse& response_;
  Poco::Net::StreamSocket socket_;
  const status_headers headers_;
  const bool is_response_to_head_;
  std::ostream* stream_ = nullptr;
  bool refused_ = false;
  // Whether only the end of the connection ends the body.
  bool ends_with_connection_ = false;
};

}  // namespace samphire

#endif  // GATEWAY_CALLER_RESPONSE_H_
