#include "proxy/http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "proxy/head_reader.h"
#include "proxy/head_writer.h"
#include "proxy/message_head.h"

namespace samphire {

namespace {

// Bounds the late responses to earlier requests that are skipped on one
// connection. With more of them, the connection can't be trusted.
constexpr int kMaxLateResponses = 2;
// Bounds the body of such a response, in bytes.
constexpr std::uint64_t kMaxSkippedBytes = std::uint64_t{1} << 20U;
// Bounds the interim responses before another one.
constexpr int kMaxInterimResponses = 4;

// Bytes of a request body forwarded at a time.
constexpr std::size_t kReadBufferBytes = std::size_t{16} << 10U;
// The end of a stale connection shows one round trip after a request was sent
// on it, and later on a busy processor.
constexpr int kStaleRoundTrips = 2;
constexpr milliseconds kMinStaleTime{10};
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Returns nothing for empty input: an empty chunk would mark the end of the
// body.
std::string EncodeChunk(std::string_view bytes) {
  if (bytes.empty())
    return {};
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

milliseconds TimeLeft(time_point deadline) {
  return std::chrono::ceil<milliseconds>(deadline -
                                         std::chrono::steady_clock::now());
}

// Whether another response to the same request follows. What follows a change
// of protocols, which no request asks for, is no response.
bool IsInterim(const Poco::Net::HTTPResponse& head) {
  return head.getStatus() < Poco::Net::HTTPResponse::HTTP_OK &&
         head.getStatus() != Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS;
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

// The response to a cancelled or expired request may still arrive. On a reused
// connection it would be taken for the response to the next request, which
// belongs to another caller. So such a connection is closed and never pooled.
http_exchange::~http_exchange() {
  if (!connection_)
    return;
  try {
    if (response_complete_ && keep_alive_)
      pool_.Release(address_, *connection_);
    else
      connection_->socket.close();
  } catch (const Poco::Exception&) {
    // The connection is closed already.
  }
}

result<void> http_exchange::Connect(connection_use use) {
  const auto time_left = TimeLeft(deadline_);
  if (time_left.count() <= 0)
    return MakeError(result_code::kDeadlineExceeded);
  const auto timeout = std::min(time_left, options_.connect_timeout);
  auto acquired = pool_.Acquire(address_, timeout, use);
  if (!acquired)
    return acquired.error();
  connection_ = std::move(acquired.value());
  buffer_ = std::make_unique<socket_input_buf>(connection_->socket, deadline_,
                                               caller_);
  input_ = std::make_unique<std::istream>(buffer_.get());
  return Success();
}

result<void> http_exchange::Send(const Poco::Net::HTTPRequest& head,
                                 std::string_view body,
                                 body_source* body_remainder) {
  BOOST_OUTCOME_TRYV(SendStart(head, body));
  if (body_remainder != nullptr)
    return SendRest(*body_remainder);
  stage_ = exchange_stage::kAwaitingHead;
  return Success();
}

result<void> http_exchange::SendStart(const Poco::Net::HTTPRequest& head,
                                      std::string_view start) {
  is_head_request_ = head.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
  is_chunked_request_ = head.getChunkedTransferEncoding();
  BOOST_OUTCOME_TRY(bytes, WriteHead(head));
  bytes += is_chunked_request_ ? EncodeChunk(start) : std::string(start);
  stage_ = exchange_stage::kSending;
  sent_at_ = std::chrono::steady_clock::now();
  BOOST_OUTCOME_TRYV(SendBytes(bytes));
  body_bytes_sent_ = start.size();
  return Success();
}

result<bool> http_exchange::Offer(const Poco::Net::HTTPRequest& head,
                                  std::string_view start,
                                  time_point until) {
  BOOST_OUTCOME_TRYV(SendStart(head, start));
  stage_ = exchange_stage::kAwaitingHead;
  buffer_->set_deadline(std::min(until, deadline_));
  BOOST_OUTCOME_TRYV(ReadAnyHead());
  buffer_->set_deadline(deadline_);
  if (head_->getStatus() == Poco::Net::HTTPResponse::HTTP_CONTINUE) {
    stage_ = exchange_stage::kSending;
    return true;
  }
  if (IsInterim(*head_))
    return MakeError(result_code::kTargetFailed, "unexpected interim response");
  BOOST_OUTCOME_TRYV(AcceptHead());
  has_unreturned_head_ = true;
  return false;
}

result<void> http_exchange::SendRest(body_source& rest) {
  std::vector<char> buffer(kReadBufferBytes);
  while (true) {
    BOOST_OUTCOME_TRY(bytes_read, rest.Read(buffer));
    if (bytes_read == 0)
      break;
    const std::string_view bytes(buffer.data(), bytes_read);
    BOOST_OUTCOME_TRYV(is_chunked_request_ ? SendBytes(EncodeChunk(bytes))
                                           : SendBytes(bytes));
    body_bytes_sent_ += bytes.size();
  }
  if (is_chunked_request_) {
    BOOST_OUTCOME_TRYV(SendBytes(kLastChunk));
  }
  stage_ = exchange_stage::kAwaitingHead;
  return Success();
}

// A connection that ends later has carried the request to a process that then
// ended or broke it off.
void http_exchange::OnConnectionEnded() {
  if (!connection_->reused || buffer_->has_received())
    return;
  const auto stale_time = std::max<duration>(
      kStaleRoundTrips * connection_->opened_in, kMinStaleTime);
  may_have_been_stale_ =
      std::chrono::steady_clock::now() - sent_at_ <= stale_time;
  if (may_have_been_stale_)
    pool_.OnStale(address_, connection_->rested);
}

result<void> http_exchange::SendBytes(std::string_view bytes) {
  try {
    const auto time_left = std::max(milliseconds{1}, TimeLeft(deadline_));
    connection_->socket.setSendTimeout(
        Poco::Timespan(microseconds(time_left).count()));
    SendAll(connection_->socket, bytes);
  } catch (const Poco::Exception& e) {
    OnConnectionEnded();
    return MakeError(result_code::kTargetFailed, e.displayText());
  }
  return Success();
}

// A faulty target may respond to a request twice, the second time when the
// connection already carries the next request. Taken for the response to that
// request, it would reach another caller. So responses that echo another
// request's id are skipped.
result<Poco::Net::HTTPResponse*> http_exchange::ReadHead() {
  for (int late = 0; late <= kMaxLateResponses; ++late) {
    if (!std::exchange(has_unreturned_head_, false)) {
      BOOST_OUTCOME_TRYV(ReadNextHead());
    }
    if (!IsResponseToOtherRequest()) {
      stage_ = exchange_stage::kReceiving;
      return &*head_;
    }
    BOOST_OUTCOME_TRYV(SkipResponse());
  }
  return MakeError(result_code::kTargetFailed,
                   "too many responses to other requests");
}

result<void> http_exchange::ReadNextHead() {
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    BOOST_OUTCOME_TRYV(ReadAnyHead());
    if (!IsInterim(*head_))
      return AcceptHead();
  }
  return MakeError(result_code::kTargetFailed, "too many interim responses");
}

result<void> http_exchange::ReadAnyHead() {
  head_.emplace();
  const auto got = ReadResponseHead(*input_, *head_);
  if (got)
    return Success();
  if (ended_without_response())
    OnConnectionEnded();
  return MakeReadError(got.error().code);
}

result<void> http_exchange::AcceptHead() {
  if (head_->getStatus() == Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS)
    return MakeError(result_code::kTargetFailed, "nobody asked for an upgrade");
  if (!options_.echo_header.empty() &&
      ValuesOf(*head_, options_.echo_header).size() > 1)
    return MakeError(result_code::kTargetFailed,
                     "response echoes more than one request");
  auto framing = ParseResponseFraming(*head_, is_head_request_);
  if (!framing)
    return framing.error();
  framing_ = framing.value();
  if (std::holds_alternative<until_close_body>(framing_) &&
      !options_.accept_unframed) {
    return MakeError(result_code::kAnswerTruncated,
                     "response has neither Content-Length nor chunked coding, "
                     "so its end can't be verified");
  }
  const bool hides_body = !is_head_request_ && DeclaresBody(*head_) &&
                          std::holds_alternative<no_body>(framing_);
  keep_alive_ = KeepsConnection(*head_) && !hides_body &&
                !std::holds_alternative<until_close_body>(framing_);
  body_.emplace(*input_, framing_);
  return Success();
}

// On a new connection the first response can only belong to this request, so a
// missing id is accepted there. On a reused connection it is not.
bool http_exchange::IsResponseToOtherRequest() const {
  if (options_.echo_header.empty())
    return false;
  if (!head_->has(options_.echo_header))
    return connection_->reused;
  return head_->get(options_.echo_header) != options_.echo_value;
}

result<void> http_exchange::SkipResponse() {
  std::array<char, 4096> buffer;
  std::uint64_t skipped = 0;
  while (skipped <= kMaxSkippedBytes) {
    const auto read_result = body_->Read(buffer);
    if (!read_result)
      return MakeReadError(read_result.error().code);
    if (read_result.value() == 0)
      return Success();
    skipped += read_result.value();
  }
  return MakeError(result_code::kTargetFailed,
                   "a response to another request is too long");
}

bool http_exchange::ended_without_response() const {
  return stage_ == exchange_stage::kAwaitingHead && buffer_ &&
         !buffer_->has_received() &&
         (buffer_->failure() == result_code::kOk ||
          buffer_->failure() == result_code::kTargetFailed);
}

void http_exchange::SetDeadline(time_point deadline) {
  deadline_ = deadline;
  if (buffer_)
    buffer_->set_deadline(deadline);
}

result<std::size_t> http_exchange::ReadBody(std::span<char> buffer) {
  auto read_result = body_->Read(buffer);
  if (!read_result)
    return MakeReadError(read_result.error().code);
  if (read_result.value() == 0) {
    // A body that ends with its connection is complete only if the connection
    // was closed in an orderly way.
    if (std::holds_alternative<until_close_body>(framing_) &&
        buffer_->failure() != result_code::kOk)
      return MakeReadError(result_code::kAnswerTruncated);
    // Bytes beyond the response belong to no request of this connection, so it
    // must not be reused.
    response_complete_ = buffer_->in_avail() <= 0;
  }
  body_bytes_read_ += read_result.value();
  if (!std::holds_alternative<fixed_length_body>(framing_) &&
      body_bytes_read_ > options_.max_unframed_body)
    return MakeError(result_code::kAnswerTruncated,
                     "the body of the response has no end");
  return read_result.value();
}

error http_exchange::MakeReadError(result_code fallback) const {
  const auto failure = buffer_->failure();
  return MakeError(failure == result_code::kOk ? fallback : failure);
}

}  // namespace samphire
