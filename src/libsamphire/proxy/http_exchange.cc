#include "proxy/http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>
#include <vector>

namespace samphire {

namespace {

// Late answers to earlier requests that are passed over on one connection;
// with more, its bytes are not to be trusted.
constexpr int kMaxLateAnswers = 2;

constexpr std::size_t kPieceBytes = std::size_t{16} << 10U;
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// An empty chunk would be taken for the last.
std::string ChunkOf(std::string_view bytes) {
  if (bytes.empty())
    return {};
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

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
                             time_point deadline,
                             exchange_options options)
    : options_(std::move(options)),
      pool_(pool),
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
  const auto timeout = std::min(left, options_.connect_timeout);
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
                                 std::string_view body,
                                 body_source* rest) {
  head_request_ = head.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
  const bool chunked = head.getChunkedTransferEncoding();
  std::ostringstream text;
  head.write(text);
  stage_ = exchange_stage::kSending;
  BOOST_OUTCOME_TRYV(
      SendBytes(text.str() + (chunked ? ChunkOf(body) : std::string(body))));
  if (rest != nullptr) {
    BOOST_OUTCOME_TRYV(SendRest(*rest, chunked));
  }
  stage_ = exchange_stage::kAwaitingHead;
  return Success();
}

result<void> http_exchange::SendBytes(std::string_view bytes) {
  try {
    const auto left = std::max(milliseconds{1}, TimeLeft(deadline_));
    connection_->socket.setSendTimeout(
        Poco::Timespan(microseconds(left).count()));
    SendAll(connection_->socket, bytes);
  } catch (const Poco::Exception& e) {
    stale_ = connection_->reused;
    return MakeError(result_code::kTargetFailed, e.displayText());
  }
  return Success();
}

result<void> http_exchange::SendRest(body_source& rest, bool chunked) {
  std::vector<char> piece(kPieceBytes);
  while (true) {
    BOOST_OUTCOME_TRY(got, rest.Read(piece));
    if (got == 0)
      return chunked ? SendBytes(kLastChunk) : result<void>(Success());
    const std::string_view bytes(piece.data(), got);
    BOOST_OUTCOME_TRYV(chunked ? SendBytes(ChunkOf(bytes)) : SendBytes(bytes));
  }
}

// A target may answer a request twice, the second time when the connection
// already carries the next request. Taken for that one's answer it would reach
// another caller; so answers that echo another request's id are passed over.
result<Poco::Net::HTTPResponse*> http_exchange::ReadHead() {
  for (int late = 0; late <= kMaxLateAnswers; ++late) {
    BOOST_OUTCOME_TRYV(ReadOneHead());
    if (!IsForAnother()) {
      stage_ = exchange_stage::kReceiving;
      return &*head_;
    }
    BOOST_OUTCOME_TRYV(SkipAnswer());
  }
  return MakeError(result_code::kTargetFailed, "answers to other requests");
}

result<void> http_exchange::ReadOneHead() {
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
  auto framing = FramingOf(*head_, head_request_);
  if (!framing)
    return framing.error();
  framing_ = framing.value();
  if (std::holds_alternative<until_close_body>(framing_) &&
      !options_.accept_unframed) {
    return MakeError(result_code::kAnswerTruncated,
                     "an answer without length or chunks can't be known whole");
  }
  keep_alive_ = head_->getKeepAlive() &&
                !std::holds_alternative<until_close_body>(framing_);
  body_.emplace(*input_, framing_);
  return Success();
}

// On a connection that carried no request before, the first answer can only
// be to this one, so there a missing id is no reason to doubt it.
bool http_exchange::IsForAnother() const {
  if (options_.echo_header.empty())
    return false;
  if (!head_->has(options_.echo_header))
    return connection_->reused;
  return head_->get(options_.echo_header) != options_.echo_value;
}

result<void> http_exchange::SkipAnswer() {
  std::array<char, 4096> piece;
  while (true) {
    const auto got = body_->Read(piece);
    if (!got)
      return FailureOf(got.error().code);
    if (got.value() == 0)
      return Success();
  }
}

result<std::size_t> http_exchange::ReadBody(std::span<char> buffer) {
  auto got = body_->Read(buffer);
  if (!got)
    return FailureOf(got.error().code);
  if (got.value() == 0) {
    // A body that ends with its connection is whole only if that was closed
    // in order.
    if (std::holds_alternative<until_close_body>(framing_) &&
        buffer_->failure() != result_code::kOk)
      return FailureOf(result_code::kAnswerTruncated);
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
