#include "traffic/sending/target_exchange.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "gateway/response_stream.h"
#include "gateway/status_reader.h"
#include "traffic/sending/relayed_call.h"
#include "traffic/sending/response_classification.h"
#include "traffic/sending/send_log.h"
#include "traffic/sending/target_request_head.h"

namespace samphire {

namespace {

// Responses up to this size are buffered. Most exports fit, and the memory used
// stays at a few MB with tens of requests in progress.
constexpr std::size_t kMaxBufferedBytes = std::size_t{128} << 10U;
// Upper bound on one read of a response's body.
constexpr std::size_t kChunkBytes = std::size_t{16} << 10U;
// The round-trip time between two regions is 40 to 70 ms; a target that has not
// accepted a connection after this time is down or unreachable.
constexpr milliseconds kConnectTimeout{250};

// Time for another entry to receive the start of a long body, connect to the
// target and ask for the rest.
constexpr milliseconds kMaxAskTime{1000};

// Whether `code` is no evidence against the target: the caller disconnected or
// sent an incomplete or invalid body, or this entry has to end.
bool IsNoEvidence(result_code code) {
  return code == result_code::kCallerGone || code == result_code::kCutByStop ||
         code == result_code::kEntryLeaving ||
         code == result_code::kMalformedRequest ||
         code == result_code::kBodyTooLarge ||
         code == result_code::kRequestTooSlow;
}

// Whether the target has run the request, so that its response is the caller's.
// The body of another one is of no use to anybody, however long it is.
bool IsOfRun(const target_exchange_end& end) {
  return end.attempt.result == attempt_result::kAnswered ||
         end.attempt.result == attempt_result::kTargetError;
}

}  // namespace

target_exchange::target_exchange(const traffic_context& context,
                                 traffic_request& request,
                                 const caller_watch& caller,
                                 response_sink& sink)
    : context_(context), request_(request), caller_(caller), sink_(sink) {}

// A request that must not be repeated, or can't be because its body is not
// buffered whole, is sent on a new connection. On a pooled connection that the
// target is closing at that moment, it would be unknown whether the request
// ran.
target_exchange_end target_exchange::Run(const live_target& target,
                                         connection_use use) {
  target_exchange_end end;
  const bool may_repeat = request_.route->idempotent &&
                          request_.body.state() == body_state::kBuffered;
  Exchange("", target, may_repeat ? use : connection_use::kNew, end);
  return end;
}

// A relay whose kept connection ends may have passed the request on, so that
// the target would get it twice.
target_exchange_end target_exchange::RunThrough(const std::string& relay,
                                                const live_target& target) {
  target_exchange_end end;
  Exchange(relay, target, connection_use::kNew, end);
  return end;
}

void target_exchange::Exchange(const std::string& relay,
                               const live_target& target,
                               connection_use use,
                               target_exchange_end& end) {
  const auto started = context_.clock.now();
  const bool relayed = !relay.empty();
  // A target may end a response with its connection. A relay never does, and
  // one that is killed closes its connections in order.
  exchange_options options{.connect_timeout = kConnectTimeout,
                           .accept_unframed = !relayed};
  // A relay checks the target's echo, and has none in its own refusals.
  if (!relayed && !request_.id.empty()) {
    options.echo_header = context_.headers.request_id;
    options.echo_value = request_.id;
  }
  http_exchange exchange(context_.pool, relayed ? relay : target.address,
                         caller_, request_.deadline, options);
  const bool connected = relayed ? ConnectToRelay(exchange, end)
                                 : ConnectToTarget(exchange, target, use, end);
  if (connected && caller_.IsDisconnected()) {
    // On an overloaded CPU, a request may have waited for so long that its
    // caller has disconnected; sending it would waste the target's capacity.
    Fail(result_code::kCallerGone, end);
  } else if (connected) {
    const auto evacuations =
        context_.state.evacuations_position.StatusAt(context_.clock.now());
    if (relayed)
      SendThrough(exchange, relay, target, end);
    else
      SendTo(exchange, target, end);
    end.sent.may_have_been_stale = exchange.may_have_been_stale();
    RecordSend(exchange, relay, target, evacuations, end);
  }
  if (end.attempt.took == duration{0})
    end.attempt.took = context_.clock.now() - started;
}

void target_exchange::RecordSend(const http_exchange& exchange,
                                 const std::string& relay,
                                 const live_target& target,
                                 const position_status& evacuations,
                                 target_exchange_end& end) const {
  send_record send{.receiver = relay.empty() ? target.address : relay,
                   .listing = target.listing,
                   .evacuations = evacuations,
                   .body_sent = exchange.body_bytes_sent(),
                   .body_bytes = request_.body.length()};
  if (!relay.empty())
    send.way = send_way::kThroughEntry;
  else if (request_.from_peer)
    send.way = send_way::kForEntry;
  LogSend(context_, request_, target, send, end);
  end.send = std::move(send);
}

void target_exchange::SendTo(http_exchange& exchange,
                             const live_target& target,
                             target_exchange_end& end) {
  const auto head = MakeTargetHead(context_, request_, target);
  auto rest = request_.body.TakeRest();
  if (!rest) {
    NotSent(rest.error().code, end);
    return;
  }
  const auto sent = exchange.Send(head, request_.body.start(),
                                  rest.value() ? &*rest.value() : nullptr);
  AfterSend(sent, exchange, false, end);
}

void target_exchange::SendThrough(http_exchange& exchange,
                                  const std::string& relay,
                                  const live_target& target,
                                  target_exchange_end& end) {
  auto head = MakeTargetHead(context_, request_, target);
  AddRelayHeaders(context_.signer, request_, target, relay, head);
  const auto sent = request_.body.state() == body_state::kBuffered
                        ? exchange.Send(head, request_.body.start())
                        : SendIfAsked(exchange, head, end);
  if (end.attempt.result != attempt_result::kNotSent)
    AfterSend(sent, exchange, true, end);
}

// A write that fails may have carried the request to its end. A head that can't
// be sent has not left this entry, and no other way could send it.
void target_exchange::AfterSend(const result<void>& sent,
                                http_exchange& exchange,
                                bool relayed,
                                target_exchange_end& end) {
  if (!sent && sent.error().code == result_code::kUnsendableHead) {
    NotSent(sent.error().code, end);
    return;
  }
  end.sent = {.arrived = true, .may_have_run = true};
  if (!sent)
    Fail(sent.error().code, end);
  else
    ReceiveResponse(exchange, relayed, end);
}

// A relay that can't reach the target would otherwise consume the rest of the
// body, which no other one could send then. Before it asks for the rest it has
// sent the target nothing.
result<void> target_exchange::SendIfAsked(http_exchange& exchange,
                                          Poco::Net::HTTPRequest& head,
                                          target_exchange_end& end) {
  head.set(kHeaderRelayAsk, "1");
  const auto asked = exchange.Offer(head, request_.body.start(),
                                    context_.clock.now() + kMaxAskTime);
  if (!asked && asked.error().code != result_code::kUnsendableHead) {
    NotSent(caller_.IsDisconnected() ? result_code::kCallerGone
                                     : result_code::kNoPathToTarget,
            end);
  }
  if (!asked)
    return asked.error();
  if (!asked.value())
    return Success();
  BOOST_OUTCOME_TRY(rest, request_.body.TakeRest());
  return rest ? exchange.SendRest(*rest) : Success();
}

void target_exchange::NotSent(result_code code, target_exchange_end& end) {
  end.reason = code;
  end.attempt.result = attempt_result::kNotSent;
}

bool target_exchange::ConnectToTarget(http_exchange& exchange,
                                      const live_target& target,
                                      connection_use use,
                                      target_exchange_end& end) {
  const auto started = context_.clock.now();
  const auto connected = exchange.Connect(use);
  if (connected) {
    if (exchange.is_new_connection())
      context_.links.OnConnected(target);
    return true;
  }
  // With little time left, a connection that is not opened tells nothing.
  if (connected.error().code == result_code::kTargetUnreachable &&
      request_.deadline - started >= kConnectTimeout)
    context_.links.OnConnectFailed(target, started);
  end.attempt.result = attempt_result::kConnectFailed;
  end.reason = connected.error().code;
  return false;
}

bool target_exchange::ConnectToRelay(http_exchange& exchange,
                                     target_exchange_end& end) {
  if (exchange.Connect(connection_use::kNew))
    return true;
  NotSent(result_code::kNoPathToTarget, end);
  return false;
}

void target_exchange::ReceiveResponse(http_exchange& exchange,
                                      bool relayed,
                                      target_exchange_end& end) {
  const auto started = context_.clock.now();
  const auto got_head = exchange.ReadHead();
  if (!got_head) {
    Fail(got_head.error().code, end);
    // The end of a connection to a relay says nothing about the target.
    end.connection_lost = !relayed && exchange.ended_without_response();
    return;
  }
  const auto& head = *got_head.value();
  if (!relayed || ApplyRelayStatus(head, end))
    ClassifyResponse(context_, head, end);
  if (request_.from_peer)
    end.head = head;
  end.attempt.took = context_.clock.now() - started;
  std::string body;
  std::array<char, kChunkBytes> chunk;
  while (true) {
    const auto got = exchange.ReadBody(chunk);
    if (!got) {
      // A response that states that the request did not run is valid even if
      // its body is truncated.
      if (end.sent.may_have_run)
        Fail(got.error().code, end);
      return;
    }
    if (got.value() == 0)
      break;
    body.append(chunk.data(), got.value());
    if (body.size() > kMaxBufferedBytes) {
      if (IsOfRun(end))
        Stream(exchange, head, body, end);
      return;
    }
  }
  end.attempt.body_bytes = request_.body.known_bytes() + body.size();
  if (end.sent.may_have_run && end.reason == result_code::kOk)
    end.response = buffered_response{head, std::move(body)};
}

bool target_exchange::ApplyRelayStatus(const Poco::Net::HTTPResponse& head,
                                       target_exchange_end& end) const {
  const auto status = ReadStatusHeaders(head);
  if (!status) {
    Fail(result_code::kPeerLost, end);
    return false;
  }
  if (IsTargetResponse(*status))
    return true;
  end.sent.may_have_run = status->run != run_state::kNotRun;
  end.sent.arrived = end.sent.may_have_run;
  if (status->code == result_code::kTargetUnreachable) {
    end.reason = status->code;
    end.attempt.result = attempt_result::kConnectFailed;
  } else if (!end.sent.may_have_run) {
    end.reason = result_code::kNoPathToTarget;
    end.attempt.result = attempt_result::kNotSent;
  } else {
    Fail(status->code, end);
    end.connection_lost = status->code == result_code::kTargetClosed;
  }
  return false;
}

void target_exchange::Stream(http_exchange& exchange,
                             const Poco::Net::HTTPResponse& head,
                             std::string_view first,
                             target_exchange_end& end) {
  end.streamed = true;
  end.streamed_status = head.getStatus();
  // Without a declared length, counts only the buffered part, which is less
  // than the whole body but enough for the message to count as large.
  const auto declared = head.hasContentLength()
                            ? static_cast<std::uint64_t>(std::max<Poco::Int64>(
                                  0, head.getContentLength64()))
                            : 0;
  end.attempt.body_bytes = request_.body.known_bytes() +
                           std::max<std::uint64_t>(declared, first.size());
  const auto streamed =
      StreamResponse(exchange, head, first, response_status{}, sink_);
  if (streamed.code != result_code::kOk)
    Fail(streamed.code, end);
}

void target_exchange::Fail(result_code code, target_exchange_end& end) const {
  end.reason = code;
  if (IsNoEvidence(code))
    end.attempt.result = attempt_result::kCallerGone;
  else if (code == result_code::kDeadlineExceeded)
    end.attempt.result = attempt_result::kTimedOut;
  else
    end.attempt.result = attempt_result::kLost;
}

}  // namespace samphire
