#include "gateway/caller_response.h"

#include <Poco/Exception.h>

#include "front/front_request.h"
#include "front/response_writer.h"
#include "gateway/header_copy.h"

namespace samphire {

namespace {

// Applies the framing of a target's body to the response. A body that ends with
// its connection is sent in chunks, since the caller's connection stays open.
// A caller that speaks HTTP/1.0 knows no chunks and would take their heads for
// a part of the body, so that its connection ends with the body.
struct framing_setter {
  Poco::Net::HTTPResponse& response;

  void operator()(const no_body&) const {}
  void operator()(const fixed_length_body& body) const {
    response.setContentLength64(static_cast<Poco::Int64>(body.length));
  }
  void operator()(const chunked_body&) const { SetLengthUnknown(); }
  void operator()(const until_close_body&) const { SetLengthUnknown(); }

 private:
  void SetLengthUnknown() const {
    if (response.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0)
      response.setKeepAlive(false);
    else
      response.setChunkedTransferEncoding(true);
  }
};

// Whether only the end of the connection ends the body of the response.
bool EndsWithConnection(const Poco::Net::HTTPResponse& response) {
  return !response.hasContentLength() &&
         !response.getChunkedTransferEncoding() && !HasNoBody(response);
}

// A response to HEAD declares the length of a body that isn't sent.
void CopyDeclaredLength(const Poco::Net::HTTPResponse& head,
                        Poco::Net::HTTPResponse& response) {
  if (head.hasContentLength() && !head.getChunkedTransferEncoding())
    response.setContentLength64(head.getContentLength64());
}

}  // namespace

caller_response::caller_response(Poco::Net::HTTPServerRequest& request,
                                 Poco::Net::HTTPServerResponse& response,
                                 status_headers headers)
    : response_(response),
      socket_(static_cast<front_request&>(request).socket()),
      headers_(headers),
      is_response_to_head_(request.getMethod() ==
                           Poco::Net::HTTPRequest::HTTP_HEAD) {}

// Date, Age and the body of the target are passed on unchanged, because a
// reading must show its own age. The entry's own headers are added.
void caller_response::Begin(const Poco::Net::HTTPResponse& head,
                            const body_framing& framing,
                            const response_status& status) {
  const bool keep_alive = response_.getKeepAlive();
  response_.setStatusAndReason(head.getStatus(), head.getReason());
  CopyEndToEndHeaders(head, response_);
  response_.setKeepAlive(keep_alive);
  if (is_response_to_head_)
    CopyDeclaredLength(head, response_);
  else
    std::visit(framing_setter{response_}, framing);
  ends_with_connection_ =
      !is_response_to_head_ && EndsWithConnection(response_);
  if (headers_ == status_headers::kAlways)
    SetStatusHeaders(response_, status);
  stream_ = &response_.send();
}

bool caller_response::Write(std::string_view bytes) {
  stream_->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  stream_->flush();
  return stream_->good();
}

void caller_response::End() {
  stream_->flush();
}

// Called when the target's response ended early after the head was sent.
// HTTP/1.1 can report this only by closing the connection before the announced
// length or before the last chunk. The clean-up of the streams would write the
// last chunk, so the connection is shut down first. Where the end of the
// connection is that of the body, only a reset tells them apart.
void caller_response::Abort() {
  response_.setKeepAlive(false);
  try {
    if (ends_with_connection_) {
      socket_.setLinger(true, 0);
      socket_.close();
    } else {
      socket_.shutdown();
    }
  } catch (const Poco::Exception&) {
    // The caller has already closed the connection.
  }
}

void caller_response::Refuse(const response_status& status) {
  refused_ = true;
  WriteRefusal(response_, status);
}

}  // namespace samphire
