#ifndef PROXY_HTTP_EXCHANGE_H_
#define PROXY_HTTP_EXCHANGE_H_

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <istream>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/clock_source.h"
#include "base/result.h"
#include "proxy/body_reader.h"
#include "proxy/body_source.h"
#include "proxy/caller_watch.h"
#include "proxy/connection_pool.h"
#include "proxy/exchange_options.h"
#include "proxy/exchange_stage.h"
#include "proxy/socket_input_buf.h"

namespace samphire {

// One request to a target or peer and its response. The connection returns to
// the pool only after the response was read to its end; destroying the exchange
// earlier closes the connection, which cancels the work at the other side.
// Connect(), Send(), ReadHead() and ReadBody() are called in this order, by one
// thread. Reads block at most until `deadline` and fail with kCallerGone once
// the caller disconnects; a single write times out after the time left until
// `deadline`, or after 1 ms if less is left. `pool` and `caller` must outlive
// the exchange.
class http_exchange {
 public:
  http_exchange(connection_pool& pool,
                std::string address,
                const caller_watch& caller,
                time_point deadline,
                exchange_options options = {});
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  // Acquires a connection. A request that must not be repeated should not be
  // lost on a connection that the other side is just closing. Fails with
  // kDeadlineExceeded or kTargetUnreachable.
  result<void> Connect(connection_use use);
  // Sends the request. `body_remainder` supplies what follows `body`, if that
  // is not all. If reading it fails, Send() fails with the same error, and the
  // other side never receives a complete request. Fails with kTargetFailed if a
  // write fails or times out, and with kUnsendableHead if `head` can't be sent;
  // nothing is sent then.
  result<void> Send(const Poco::Net::HTTPRequest& head,
                    std::string_view body,
                    body_source* body_remainder = nullptr);
  // Sends the request without the rest of its body, and waits until `until` for
  // the other side to ask for that with 100 Continue. Returns false if a final
  // response came in its place, which ReadHead() returns; else SendRest() has
  // to follow. Fails like Send() and ReadHead().
  result<bool> Offer(const Poco::Net::HTTPRequest& head,
                     std::string_view start,
                     time_point until);
  // Sends what follows the start of a body. Fails like Send().
  result<void> SendRest(body_source& rest);
  // Returns the response head, valid for as long as the exchange. Skips late
  // responses to earlier requests and interim responses, a few of each. Fails
  // with kTargetFailed, kAnswerTruncated (see accept_unframed),
  // kDeadlineExceeded or kCallerGone.
  result<Poco::Net::HTTPResponse*> ReadHead();
  // Reads the next bytes of the response body and returns their number; 0 only
  // at the end of a complete body. Fails with kAnswerTruncated if the body
  // breaks off or exceeds max_unframed_body, and with kTargetFailed,
  // kDeadlineExceeded or kCallerGone.
  result<std::size_t> ReadBody(std::span<char> buffer);

  // Replaces the deadline of what follows.
  void SetDeadline(time_point deadline);

  exchange_stage stage() const { return stage_; }
  // Whether Connect() opened a new connection.
  bool is_new_connection() const { return connection_ && !connection_->reused; }
  // Whether the connection was reused and ended so soon after the request was
  // sent, without any byte of a response, that the other side may have closed
  // it before. It may have received the request all the same.
  bool may_have_been_stale() const { return may_have_been_stale_; }
  // Whether the other side ended the connection before it sent any byte of a
  // response.
  bool ended_without_response() const;
  const body_framing& framing() const { return framing_; }
  // Number of bytes of the request's body that were written to the connection.
  std::uint64_t body_bytes_sent() const { return body_bytes_sent_; }

 private:
  // Concludes from the end of the connection whether it may have been stale.
  void OnConnectionEnded();
  result<void> SendBytes(std::string_view bytes);
  // Sends the head and the first part of the body.
  result<void> SendStart(const Poco::Net::HTTPRequest& head,
                         std::string_view start);
  // Returns why the connection ended, or `fallback` if it ended in order.
  error MakeReadError(result_code fallback) const;
  result<void> ReadNextHead();
  // Reads one head, which may be that of an interim response.
  result<void> ReadAnyHead();
  // Prepares for the body of the response whose head was read.
  result<void> AcceptHead();
  bool IsResponseToOtherRequest() const;
  result<void> SkipResponse();

  const exchange_options options_;
  connection_pool& pool_;
  std::string address_;
  const caller_watch& caller_;
  time_point deadline_;
  exchange_stage stage_ = exchange_stage::kConnecting;
  std::optional<connection_pool::pooled_connection> connection_;
  time_point sent_at_;
  std::unique_ptr<socket_input_buf> buffer_;
  std::unique_ptr<std::istream> input_;
  std::optional<Poco::Net::HTTPResponse> head_;
  body_framing framing_;
  std::optional<body_reader> body_;
  bool is_head_request_ = false;
  bool is_chunked_request_ = false;
  // Whether ReadHead() has to return the head that was read last.
  bool has_unreturned_head_ = false;
  bool keep_alive_ = false;
  bool response_complete_ = false;
  bool may_have_been_stale_ = false;
  std::uint64_t body_bytes_sent_ = 0;
  std::uint64_t body_bytes_read_ = 0;
};

}  // namespace samphire

#endif  // PROXY_HTTP_EXCHANGE_H_
