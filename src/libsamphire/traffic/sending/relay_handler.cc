#include "traffic/sending/relay_handler.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <utility>

#include "base/decimal_text.h"
#include "gateway/caller_response.h"
#include "gateway/response_relay.h"
#include "peer/peer_token.h"
#include "traffic/sending/relayed_call.h"
#include "traffic/sending/target_exchange.h"

namespace samphire {

namespace {

// Bounds the requests that an entry passes on at a time. Beyond it, peers ask
// others, so that the callers of this entry are served as well.
constexpr int kMaxRelayed = 64;
// Upper bound on the part of a body that is buffered, as at the sender.
constexpr std::uint64_t kMaxSignedBytes = std::uint64_t{128} << 10U;
// Upper bound on one read of a body.
constexpr std::size_t kChunkBytes = std::size_t{16} << 10U;
// Used if the sender names no deadline.
constexpr std::uint64_t kDefaultDeadlineMs = 1000;

std::uint64_t NumberIn(const front_request& request,
                       const std::string& header,
                       std::uint64_t otherwise) {
  return ParseDecimal(request.get(header, "")).value_or(otherwise);
}

// Routes that differ only in whether a request may run more than once.
const traffic_route& RouteFor(bool idempotent) {
  static const traffic_route once{.idempotent = false};
  static const traffic_route repeatable{.idempotent = true};
  return idempotent ? repeatable : once;
}

result_code CodeOf(const target_exchange_end& end) {
  if (end.attempt.result == attempt_result::kConnectFailed)
    return result_code::kTargetUnreachable;
  if (end.connection_lost)
    return result_code::kTargetClosed;
  return end.reason;
}

// Until it is asked, the peer keeps the rest of a long body, which it can give
// to one entry only. It is asked once this entry has a connection to the
// target, and before the target gets anything.
result<void> AskForRest(Poco::Net::StreamSocket socket) {
  static const std::string ask = "HTTP/1.1 100 Continue\r\n\r\n";
  try {
    socket.sendBytes(ask.data(), static_cast<int>(ask.size()));
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kCallerGone, e.displayText());
  }
  return Success();
}

// Counts the requests that are being passed on for as long as it exists.
class relayed_request {
 public:
  explicit relayed_request(std::atomic<int>& running)
      : running_(running), number_(++running) {}
  ~relayed_request() { --running_; }
  relayed_request(const relayed_request&) = delete;
  relayed_request& operator=(const relayed_request&) = delete;

  int number() const { return number_; }

 private:
  std::atomic<int>& running_;
  const int number_;
};

}  // namespace

bool relay_handler::Accepts(const Poco::Net::HTTPServerRequest& request) {
  return request.has(kHeaderRelayTarget);
}

// Uses a new connection: the peer that counts the attempt could not tell the
// loss of a stale one from that of its target.
void relay_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                  Poco::Net::HTTPServerResponse& response) {
  const relayed_request counted(context_.state.relayed_requests);
  auto& incoming = static_cast<front_request&>(request);
  caller_response sink(request, response);
  const auto refuse = [&](result_code code) {
    if (!incoming.IsFullyRead())
      response.setKeepAlive(false);
    context_.counters.CountRefusal(code);
    sink.Refuse({.code = code, .run = run_state::kNotRun});
  };
  if (counted.number() > kMaxRelayed)
    return refuse(result_code::kNoPathToTarget);
  auto read = Read(incoming);
  if (!read)
    return refuse(read.error().code);
  const auto target = FindTarget(request);
  if (!target)
    return refuse(target.error().code);
  if (read.value().body.state() != body_state::kBuffered)
    response.setKeepAlive(false);
  if (request.has(kHeaderRelayAsk)) {
    read.value().body.SetPermission(
        [socket = sink.socket()] { return AskForRest(socket); });
  }
  const caller_watch peer(sink.socket(), context_.state.stop.cut());
  const auto sent_at = context_.clock.now();
  const auto end = target_exchange(context_, read.value(), peer, sink)
                       .Run(target.value(), connection_use::kNew);
  if (end.attempt.notice)
    context_.notices.OnResponse(target.value(), *end.attempt.notice, sent_at);
  Respond(end, target.value(), sink);
}

result<traffic_request> relay_handler::Read(front_request& request) const {
  traffic_request read;
  read.arrived = context_.clock.now();
  read.manifest = context_.state.manifest();
  if (!read.manifest)
    return MakeError(result_code::kNoPathToTarget);
  read.from_peer = true;
  read.route = &RouteFor(request.get(kHeaderRelayIdempotent, "") == "1");
  read.id = request.get(context_.headers.request_id, "");
  read.method = request.getMethod();
  read.path = request.getURI();
  read.headers = request;
  read.deadline =
      read.arrived + milliseconds(NumberIn(request, context_.headers.deadline,
                                           kDefaultDeadlineMs));
  const auto signed_bytes = NumberIn(request, kHeaderRelaySigned, 0);
  if (signed_bytes > kMaxSignedBytes + kChunkBytes)
    return MakeError(result_code::kPeerMalformed);
  auto& body =
      request.OpenBody(read.manifest->limits().max_body_bytes, read.deadline);
  std::string start;
  std::array<char, kChunkBytes> chunk;
  while (!body.ended() && start.size() < signed_bytes) {
    const auto wanted =
        std::min<std::size_t>(chunk.size(), signed_bytes - start.size());
    BOOST_OUTCOME_TRY(got, body.Read({chunk.data(), wanted}));
    start.append(chunk.data(), got);
  }
  BOOST_OUTCOME_TRYV(context_.signer.Verify(
      {.method = read.method,
       .request_target = read.path,
       .receiver_address = context_.settings.peer_address,
       .signed_content = RelayedContent(request, start)},
      request.get(kPeerTokenHeader, "")));
  read.body = body.ended()
                  ? outgoing_body(std::move(start))
                  : outgoing_body(std::move(start), body, body.length());
  return read;
}

// What this entry knows may be newer than what the sender knew when it chose:
// that the target leaves, or that its domain gets no more requests. A target
// asks whoever it answers for a pause, which is this entry.
result<live_target> relay_handler::FindTarget(
    const Poco::Net::HTTPServerRequest& request) const {
  const auto targets = context_.state.targets();
  if (!targets || context_.state.stop.begun())
    return MakeError(result_code::kNoPathToTarget);
  const auto& known = targets->OfService(request.get(kHeaderRelayService, ""));
  const auto found = std::ranges::find(known, request.get(kHeaderRelayTarget),
                                       &live_target::id);
  if (found == known.end() || !targets->IsOpen(*found) ||
      context_.links.IsLinkSuspect(*found))
    return MakeError(result_code::kNoPathToTarget);
  const bool paused =
      context_.shards.WithService(found->service, [&](auto& shard) {
        return shard.tracker.IsPaused(*found, context_.clock.now());
      });
  if (paused)
    return MakeError(result_code::kNoPathToTarget);
  if (context_.links.IsDown(*found))
    return MakeError(result_code::kTargetUnreachable);
  return *found;
}

void relay_handler::Respond(const target_exchange_end& end,
                            const live_target& target,
                            response_sink& sink) const {
  context_.counters.Count(
      "passed_on_total",
      fmt::format("result=\"{}\"",
                  NameOf(kAttemptResultNames, end.attempt.result)));
  if (end.streamed)
    return;
  const bool is_targets =
      end.attempt.result == attempt_result::kTargetRefused ||
      end.attempt.result == attempt_result::kMisdirected;
  if (end.response) {
    SendBuffered(sink, *end.response, response_status{.run = run_state::kRan});
  } else if (is_targets && end.head) {
    SendBuffered(sink, {*end.head, ""}, response_status{});
  } else if (end.reason == result_code::kCallerGone) {
    sink.Abort();
  } else if (end.attempt.result == attempt_result::kConnectFailed &&
             !context_.links.IsDown(target)) {
    sink.Refuse({.code = result_code::kNoPathToTarget});
  } else {
    sink.Refuse({.code = CodeOf(end),
                 .run = end.sent.may_have_run ? run_state::kUnknown
                                              : run_state::kNotRun});
  }
}

}  // namespace samphire
