#include "gateway/response_relay.h"

#include <array>
#include <utility>

#include "gateway/response_stream.h"

namespace samphire {

namespace {

// Bounds the body of a response that is buffered. Levels, acknowledgements and
// summaries are a few kilobytes; a longer response is a download, for which
// buffering would cost memory and latency.
constexpr std::size_t kMaxBufferedBytes = 16384;
// Bounds what is read from the connection at once.
constexpr std::size_t kReadBufferBytes = 16384;

// Response header by which a target reports that it shed the request.
const std::string kShedHeader = "Target-Shed";

attempt_outcome OutcomeOf(result_code failure) {
  switch (failure) {
    case result_code::kDeadlineExceeded:
      return attempt_outcome::kTimedOut;
    case result_code::kCallerGone:
      return attempt_outcome::kCancelled;
    case result_code::kAnswerTruncated:
      return attempt_outcome::kTruncated;
    case result_code::kUnsendableHead:
      // Nothing was sent, as if there were no connection.
      return attempt_outcome::kConnectFailed;
    default:
      return attempt_outcome::kLost;
  }
}

attempt_outcome OutcomeOf(const Poco::Net::HTTPResponse& head) {
  const int status = head.getStatus();
  if (status < Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
    return attempt_outcome::kOk;
  // A target that refuses because of its own load sends the header, which
  // proves that the request did not run there; a 503 without it proves nothing.
  if (status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
      head.has(kShedHeader))
    return attempt_outcome::kTargetShed;
  return attempt_outcome::kTargetError;
}

}  // namespace

response_relay::response_relay(connection_pool& pool,
                               const caller_watch& caller,
                               response_sink& sink,
                               response_status status)
    : pool_(pool), caller_(caller), sink_(sink), status_(std::move(status)) {}

// Sends the request once, whatever happens to the connection: only the owner of
// the relay knows whether it may be sent again, and what that costs.
relay_result response_relay::Run(const outgoing_request& request) {
  relay_result end;
  const auto started = std::chrono::steady_clock::now();
  http_exchange exchange(pool_, request.address, caller_, request.deadline);
  if (!exchange.Connect(request.connection)) {
    end.outcome = attempt_outcome::kConnectFailed;
  } else if (auto sent = exchange.Send(request.head, request.body); !sent) {
    end.outcome = OutcomeOf(sent.error().code);
  } else {
    ReadResponse(exchange, end);
  }
  end.may_have_been_stale = exchange.may_have_been_stale();
  if (!end.relayed)
    end.target_time = std::chrono::steady_clock::now() - started;
  return end;
}

void response_relay::ReadResponse(http_exchange& exchange, relay_result& end) {
  const auto started = std::chrono::steady_clock::now();
  auto head = exchange.ReadHead();
  if (!head) {
    end.outcome = OutcomeOf(head.error().code);
    return;
  }
  end.status = head.value()->getStatus();
  end.outcome = OutcomeOf(*head.value());
  std::string body;
  std::array<char, kReadBufferBytes> buffer;
  while (body.size() < kMaxBufferedBytes) {
    const auto got = exchange.ReadBody(buffer);
    if (!got) {
      end.outcome = OutcomeOf(got.error().code);
      return;
    }
    if (got.value() == 0) {
      end.response = buffered_response{*head.value(), std::move(body)};
      return;
    }
    body.append(buffer.data(), got.value());
  }
  end.target_time = std::chrono::steady_clock::now() - started;
  Stream(exchange, *head.value(), body, end);
}

void response_relay::Stream(http_exchange& exchange,
                            const Poco::Net::HTTPResponse& head,
                            std::string_view first,
                            relay_result& end) {
  end.relayed = true;
  const auto streamed = StreamResponse(exchange, head, first, status_, sink_);
  end.target_time += streamed.target_time;
  if (streamed.code != result_code::kOk)
    end.outcome = OutcomeOf(streamed.code);
}

void SendBuffered(response_sink& sink,
                  const buffered_response& response,
                  const response_status& status) {
  sink.Begin(response.head,
             HasNoBody(response.head)
                 ? body_framing(no_body{})
                 : body_framing(fixed_length_body{response.body.size()}),
             status);
  if (!sink.Write(response.body)) {
    sink.Abort();
    return;
  }
  sink.End();
}

}  // namespace samphire
