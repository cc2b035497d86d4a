#include "gateway/remote_server.h"

#include <algorithm>
#include <utility>

#include "front/header_names.h"
#include "gateway/status_reader.h"
#include "gateway/target_request.h"

namespace samphire {

namespace {

// Bounds the entries of the region that are tried. A second one is tried if the
// first is unreachable, doesn't respond or is leaving; a third would only add
// to the time that the caller waits for an unreachable region.
constexpr std::size_t kMaxPeers = 2;

// Retry time that is sent to the caller if no entry could serve the request.
constexpr milliseconds kRetryAfter{1000};

// Returns the status for a request that no entry of the region has served.
response_status FailureStatus(const caller_request& request,
                              result_code code,
                              run_state run) {
  return response_status{.code = code,
                         .run = run,
                         .config_version = request.deployment->version(),
                         .retry_after = kRetryAfter};
}

// An entry that forwarded a request and gets no response can't know whether it
// ran; only a connection that was never established proves that it did not.
response_status StatusForOutcome(const caller_request& request,
                                 attempt_outcome outcome) {
  if (outcome == attempt_outcome::kConnectFailed)
    return FailureStatus(request, result_code::kNoPeerInRegion,
                         run_state::kNotRun);
  if (outcome == attempt_outcome::kCancelled)
    return FailureStatus(request, result_code::kCallerGone,
                         run_state::kUnknown);
  if (outcome == attempt_outcome::kTimedOut)
    return FailureStatus(request, result_code::kDeadlineExceeded,
                         run_state::kUnknown);
  return FailureStatus(request, result_code::kPeerLost, run_state::kUnknown);
}

}  // namespace

remote_server::remote_server(peer_directory& peers,
                             peer_signer& signer,
                             retry_budgets& budgets,
                             connection_pool& pool,
                             const clock_source& clock,
                             metrics& counters)
    : peers_(peers),
      signer_(signer),
      budgets_(budgets),
      pool_(pool),
      clock_(clock),
      metrics_(counters) {}

serve_result remote_server::Serve(const caller_request& request,
                                  const std::string& region,
                                  const caller_watch& caller,
                                  response_sink& sink) {
  response_status last =
      FailureStatus(request, result_code::kNoPeerInRegion, run_state::kNotRun);
  const auto peers = peers_.EntriesIn(region);
  auto connection = budgets_.Allows(request.service->name, clock_.now())
                        ? connection_use::kAny
                        : connection_use::kRecent;
  for (std::size_t i = 0; !peers.empty() && i < kMaxPeers; ++i) {
    // The only entry of a region is tried again if a connection to it ended.
    if (i >= peers.size() && last.code != result_code::kPeerLost)
      break;
    if (i > 0 && !MayTryNext(request, last))
      break;
    const auto& peer = peers[std::min(i, peers.size() - 1)];
    auto end = ForwardTo(request, peer, connection, caller, sink);
    connection = connection_use::kNew;
    const auto* failed = std::get_if<serve_failure>(&end);
    if (failed == nullptr)
      return end;
    last = failed->status;
    const bool peer_gone = last.code == result_code::kNoPeerInRegion ||
                           last.code == result_code::kPeerLost ||
                           last.code == result_code::kEntryLeaving;
    if (!peer_gone)
      return end;
  }
  return serve_failure{last};
}

bool remote_server::MayTryNext(const caller_request& request,
                               const response_status& status) {
  const auto now = clock_.now();
  const auto& service = request.service->name;
  const bool safe =
      request.request_class->repeatable || status.run == run_state::kNotRun;
  if (!safe || now >= request.deadline || !budgets_.Allows(service, now))
    return false;
  budgets_.Spend(service, now);
  metrics_.CountRetry(status.code);
  return true;
}

serve_result remote_server::ForwardTo(const caller_request& request,
                                      const peer_entry& peer,
                                      connection_use connection,
                                      const caller_watch& caller,
                                      response_sink& sink) {
  metrics_.Count("passed_total");
  response_relay relay(
      pool_, caller, sink,
      response_status{.run = run_state::kRan,
                      .config_version = request.deployment->version()});
  const auto end = relay.Run(MakeForwardedRequest(request, peer, connection));
  if (end.relayed)
    return response_sent{};
  if (!end.response) {
    pool_.CloseIdle(peer.peer_address);
    return serve_failure{StatusForOutcome(request, end.outcome)};
  }
  const auto status = ReadStatusHeaders(end.response->head);
  if (!status)
    return serve_failure{
        FailureStatus(request, result_code::kPeerLost, run_state::kUnknown)};
  if (!IsTargetResponse(*status))
    return serve_failure{*status};
  SendBuffered(sink, *end.response, *status);
  return response_sent{};
}

outgoing_request remote_server::MakeForwardedRequest(
    const caller_request& request,
    const peer_entry& peer,
    connection_use connection) {
  auto out = MakeTargetRequest(request, peer.peer_address, clock_.now());
  if (out.connection != connection_use::kNew)
    out.connection = connection;
  out.head.setURI("/v1/services/" + request.service->name + request.path);
  out.head.set(kHeaderHomeRegion, request.home_region);
  out.head.set(kPeerTokenHeader,
               signer_.Sign({.method = request.method,
                             .request_target = out.head.getURI(),
                             .receiver_address = peer.peer_address,
                             .signed_content = ForwardedContent(
                                 request.home_region, request.idempotency_key,
                                 request.body)}));
  return out;
}

}  // namespace samphire
