#include "gateway/caller_answer.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>

#include "front/response_writer.h"
#include "gateway/header_copy.h"

namespace samphire {

namespace {

struct framing_setter {
  Poco::Net::HTTPResponse& response;

  void operator()(const no_body&) const {}
  void operator()(const fixed_length_body& body) const {
    response.setContentLength64(static_cast<Poco::Int64>(body.length));
  }
  void operator()(const chunked_body&) const {
    response.setChunkedTransferEncoding(true);
  }
  void operator()(const until_close_body&) const {
    response.setChunkedTransferEncoding(true);
  }
};

}  // namespace

caller_answer::caller_answer(Poco::Net::HTTPServerRequest& request,
                             Poco::Net::HTTPServerResponse& response,
                             note_headers notes)
    : response_(response),
      socket_(static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket()),
      notes_(notes) {}

// Date, Age and the body are the target's, unchanged: a reading must show its
// own age. The entry's own headers are added beside them.
void caller_answer::Begin(const Poco::Net::HTTPResponse& head,
                          const body_framing& framing,
                          const response_status& note) {
  const bool keep_alive = response_.getKeepAlive();
  response_.setStatusAndReason(head.getStatus(), head.getReason());
  CopyEndToEndHeaders(head, response_);
  response_.setKeepAlive(keep_alive);
  std::visit(framing_setter{response_}, framing);
  if (notes_ == note_headers::kAlways)
    SetStatusHeaders(response_, note);
  stream_ = &response_.send();
}

bool caller_answer::Write(std::string_view bytes) {
  stream_->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  stream_->flush();
  return stream_->good();
}

void caller_answer::End() {
  stream_->flush();
}

// The target's answer broke off after the head went out. Closing before the
// announced length, or before the last chunk, is the only sign that HTTP/1.1
// has for this; the streams' own clean-up would write the last chunk, so the
// connection is shut first.
void caller_answer::Abort() {
  response_.setKeepAlive(false);
  try {
    socket_.shutdown();
  } catch (const Poco::Exception&) {
    // The caller closed first.
  }
}

void caller_answer::Refuse(const response_status& note) {
  refused_ = true;
  WriteRefusal(response_, note);
}

}  // namespace samphire
