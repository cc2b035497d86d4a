#include "gateway/answer_relay.h"

#include <array>
#include <utility>

#include "gateway/answer_stream.h"

namespace samphire {

namespace {

// Levels, acknowledgements and summaries are a few kilobytes; what is longer
// is a download, for which holding would cost memory and time.
constexpr std::size_t kHeldBytes = 16384;
constexpr std::size_t kPieceBytes = 16384;

const std::string kShedHeader = "Target-Shed";

attempt_outcome OutcomeOf(result_code failure) {
  switch (failure) {
    case result_code::kDeadlineExceeded:
      return attempt_outcome::kTimedOut;
    case result_code::kCallerGone:
      return attempt_outcome::kCancelled;
    case result_code::kAnswerTruncated:
      return attempt_outcome::kTruncated;
    default:
      return attempt_outcome::kLost;
  }
}

attempt_outcome OutcomeOf(const Poco::Net::HTTPResponse& head) {
  const int status = head.getStatus();
  if (status < Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
    return attempt_outcome::kOk;
  // A target that refuses for its own load says so, which proves that the
  // request did not run there; a bare 503 proves nothing.
  if (status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
      head.has(kShedHeader))
    return attempt_outcome::kTargetShed;
  return attempt_outcome::kTargetError;
}

}  // namespace

answer_relay::answer_relay(connection_pool& pool,
                           const caller_watch& caller,
                           answer_sink& sink,
                           response_status note)
    : pool_(pool), caller_(caller), sink_(sink), note_(std::move(note)) {}

// A target that crashes or restarts leaves its idle connections behind broken,
// and the next request on each is lost though it did nothing wrong. Counted as
// a loss, it would make the innocent a suspect, and a second one put it in
// quarantine: a technician asking for a level was refused for an hour because
// of somebody else's request. So such a loss proves nothing, and the request is
// sent once more on a new connection.
relay_end answer_relay::Run(const outgoing_request& request) {
  relay_end end;
  const auto started = std::chrono::steady_clock::now();
  if (!Exchange(request, request.fresh_connection, end)) {
    end = relay_end{.was_stale = true};
    Exchange(request, true, end);
  }
  if (!end.relayed)
    end.target_time = std::chrono::steady_clock::now() - started;
  return end;
}

bool answer_relay::Exchange(const outgoing_request& request,
                            bool fresh,
                            relay_end& end) {
  http_exchange exchange(pool_, request.address, caller_, request.deadline);
  if (!exchange.Connect(fresh)) {
    end.outcome = attempt_outcome::kConnectFailed;
  } else if (auto sent = exchange.Send(request.head, request.body); !sent) {
    end.outcome = OutcomeOf(sent.error().code);
  } else {
    ReadAnswer(exchange, end);
  }
  return !exchange.failed_on_stale_connection();
}

void answer_relay::ReadAnswer(http_exchange& exchange, relay_end& end) {
  const auto started = std::chrono::steady_clock::now();
  auto head = exchange.ReadHead();
  if (!head) {
    end.outcome = OutcomeOf(head.error().code);
    return;
  }
  end.status = head.value()->getStatus();
  end.outcome = OutcomeOf(*head.value());
  std::string body;
  std::array<char, kPieceBytes> piece;
  while (body.size() < kHeldBytes) {
    const auto got = exchange.ReadBody(piece);
    if (!got) {
      end.outcome = OutcomeOf(got.error().code);
      return;
    }
    if (got.value() == 0) {
      end.answer = held_answer{*head.value(), std::move(body)};
      return;
    }
    body.append(piece.data(), got.value());
  }
  end.target_time = std::chrono::steady_clock::now() - started;
  Stream(exchange, *head.value(), body, end);
}

void answer_relay::Stream(http_exchange& exchange,
                          const Poco::Net::HTTPResponse& head,
                          std::string_view first,
                          relay_end& end) {
  end.relayed = true;
  const auto streamed = StreamAnswer(exchange, head, first, note_, sink_);
  end.target_time += streamed.target_time;
  if (streamed.code != result_code::kOk)
    end.outcome = OutcomeOf(streamed.code);
}

void SendHeld(answer_sink& sink,
              const held_answer& answer,
              const response_status& note) {
  const bool empty = answer.body.empty() &&
                     !answer.head.has(Poco::Net::HTTPMessage::CONTENT_LENGTH) &&
                     !answer.head.getChunkedTransferEncoding();
  sink.Begin(answer.head,
             empty ? body_framing(no_body{})
                   : body_framing(fixed_length_body{answer.body.size()}),
             note);
  if (!sink.Write(answer.body)) {
    sink.Abort();
    return;
  }
  sink.End();
}

}  // namespace samphire
