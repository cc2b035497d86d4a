#include "proxy/http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace samphire {

namespace {

// A target on the same or the next site answers a connection in about 1 ms; a
// longer wait only delays the attempt on another target.
constexpr milliseconds kConnectTimeout{500};

milliseconds TimeLeft(time_point deadline) {
  return std::chrono::ceil<milliseconds>(deadline -
                                         std::chrono::steady_clock::now());
}

void SendAll(Poco::Net::StreamSocket& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const int sent =
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

}  // namespace

http_exchange::http_exchange(connection_pool& pool,
                             std::string address,
                             const caller_watch& caller,
                             time_point deadline)
    : pool_(pool),
      address_(std::move(address)),
      caller_(caller),
      deadline_(deadline) {}

// An answer that was given up on may still arrive. On a connection that is
// used again it would be taken for the answer to the next request, which is
// another caller's; so such a connection is closed and never pooled.
http_exchange::~http_exchange() {
  if (!connection_)
    return;
  try {
    if (whole_ && keep_alive_)
      pool_.Give(address_, connection_->socket);
    else
      connection_->socket.close();
  } catch (const Poco::Exception&) {
    // The connection is gone already, which is what closing is for.
  }
}

result<void> http_exchange::Connect(bool fresh) {
  const auto left = TimeLeft(deadline_);
  if (left.count() <= 0)
    return MakeError(result_code::kDeadlineExceeded);
  const auto timeout = std::min(left, kConnectTimeout);
  auto taken = fresh ? connection_pool::Open(address_, timeout)
                     : pool_.Take(address_, timeout);
  if (!taken)
    return taken.error();
  connection_ = std::move(taken.value());
  buffer_ = std::make_unique<socket_input_buf>(connection_->socket, deadline_,
                                               caller_);
  input_ = std::make_unique<std::istream>(buffer_.get());
  return Success();
}

result<void> http_exchange::Send(const Poco::Net::HTTPRequest& head,
                                 std::string_view body) {
  head_request_ = head.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
  std::ostringstream text;
  head.write(text);
  stage_ = exchange_stage::kSending;
  try {
    const auto left = std::max(milliseconds{1}, TimeLeft(deadline_));
    connection_->socket.setSendTimeout(
        Poco::Timespan(microseconds(left).count()));
    SendAll(connection_->socket, text.str() + std::string(body));
  } catch (const Poco::Exception& e) {
    stale_ = connection_->reused;
    return MakeError(result_code::kTargetFailed, e.displayText());
  }
  stage_ = exchange_stage::kAwaitingHead;
  return Success();
}

result<Poco::Net::HTTPResponse*> http_exchange::ReadHead() {
  try {
    do {
      head_.emplace();
      head_->read(*input_);
    } while (head_->getStatus() == Poco::Net::HTTPResponse::HTTP_CONTINUE);
  } catch (const Poco::Exception&) {
    const auto failure = buffer_->failure();
    stale_ = connection_->reused && (failure == result_code::kOk ||
                                     failure == result_code::kTargetFailed);
    return FailureOf(result_code::kTargetFailed);
  }
  stage_ = exchange_stage::kReceiving;
  auto framing = FramingOf(*head_, head_request_);
  if (!framing)
    return framing.error();
  framing_ = framing.value();
  keep_alive_ = head_->getKeepAlive();
  body_.emplace(*input_, framing_);
  return &*head_;
}

result<std::size_t> http_exchange::ReadBody(std::span<char> buffer) {
  auto got = body_->Read(buffer);
  if (!got)
    return FailureOf(got.error().code);
  if (got.value() == 0) {
    // Bytes beyond the answer belong to no request of ours.
    whole_ = buffer_->in_avail() <= 0;
  }
  return got.value();
}

error http_exchange::FailureOf(result_code otherwise) const {
  const auto failure = buffer_->failure();
  return MakeError(failure == result_code::kOk ? otherwise : failure);
}

}  // namespace samphire
