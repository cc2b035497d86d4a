#ifndef GATEWAY_CALLER_ANSWER_H_
#define GATEWAY_CALLER_ANSWER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <ostream>

#include "gateway/answer_sink.h"

namespace samphire {

// On which answers the entry's own headers go out.
enum class note_headers { kAlways, kOnRefusals };

// The answer on the connection that the request came on.
class caller_answer final : public answer_sink {
 public:
  caller_answer(Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response,
                note_headers notes = note_headers::kAlways);

  void Begin(const Poco::Net::HTTPResponse& head,
             const body_framing& framing,
             const response_status& note) override;
  bool Write(std::string_view bytes) override;
  void End() override;
  void Abort() override;
  void Refuse(const response_status& note) override;
  bool begun() const override { return stream_ != nullptr || refused_; }

  Poco::Net::StreamSocket socket() const { return socket_; }

 private:
  Poco::Net::HTTPServerResponse& response_;
  Poco::Net::StreamSocket socket_;
  const note_headers notes_;
  std::ostream* stream_ = nullptr;
  bool refused_ = false;
};

}  // namespace samphire

#endif  // GATEWAY_CALLER_ANSWER_H_
