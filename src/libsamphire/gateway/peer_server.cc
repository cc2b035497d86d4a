#include "gateway/peer_server.h"

#include <utility>

#include "front/header_names.h"
#include "gateway/note_reader.h"
#include "gateway/target_request.h"

namespace samphire {

namespace {

// A second entry of the region is tried when the first is gone; a third would
// only add to the time that the caller waits for a region that is dark.
constexpr std::size_t kMaxPeers = 2;

constexpr milliseconds kRetryAfter{1000};

response_status Lost(const caller_request& request,
                     result_code code,
                     run_state run) {
  return response_status{.code = code,
                         .run = run,
                         .config_version = request.deployment->version(),
                         .retry_after = kRetryAfter};
}

// An entry that passed a request on and hears nothing can't know whether it
// ran; only a connection that never stood proves that it did not.
response_status NoteOf(const caller_request& request, attempt_outcome outcome) {
  if (outcome == attempt_outcome::kConnectFailed)
    return Lost(request, result_code::kNoPeerInRegion, run_state::kNotRun);
  if (outcome == attempt_outcome::kCancelled)
    return Lost(request, result_code::kCallerGone, run_state::kUnknown);
  if (outcome == attempt_outcome::kTimedOut)
    return Lost(request, result_code::kDeadlineExceeded, run_state::kUnknown);
  return Lost(request, result_code::kPeerLost, run_state::kUnknown);
}

}  // namespace

peer_server::peer_server(peer_directory& peers,
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

serve_end peer_server::Serve(const caller_request& request,
                             const std::string& region,
                             const caller_watch& caller,
                             answer_sink& sink) {
  response_status last =
      Lost(request, result_code::kNoPeerInRegion, run_state::kNotRun);
  const auto peers = peers_.EntriesIn(region);
  for (std::size_t i = 0; i < peers.size() && i < kMaxPeers; ++i) {
    if (i > 0 && !MayTryNext(request, last))
      break;
    auto end = PassTo(request, peers[i], caller, sink);
    const auto* failed = std::get_if<unanswered>(&end);
    if (failed == nullptr)
      return end;
    last = failed->note;
    const bool peer_gone = last.code == result_code::kNoPeerInRegion ||
                           last.code == result_code::kPeerLost ||
                           last.code == result_code::kEntryLeaving;
    if (!peer_gone)
      return end;
  }
  return unanswered{last};
}

bool peer_server::MayTryNext(const caller_request& request,
                             const response_status& note) {
  const auto now = clock_.now();
  const auto& service = request.service->name;
  const bool safe =
      request.request_class->repeatable || note.run == run_state::kNotRun;
  if (!safe || now >= request.deadline || !budgets_.Allows(service, now))
    return false;
  budgets_.Spend(service, now);
  metrics_.CountRetry(note.code);
  return true;
}

serve_end peer_server::PassTo(const caller_request& request,
                              const peer_entry& peer,
                              const caller_watch& caller,
                              answer_sink& sink) {
  metrics_.Count("passed_total");
  answer_relay relay(
      pool_, caller, sink,
      response_status{.run = run_state::kRan,
                      .config_version = request.deployment->version()});
  const auto end = relay.Run(MakePassed(request, peer));
  if (end.relayed)
    return answered{};
  if (!end.answer) {
    pool_.CloseIdle(peer.peer_address);
    return unanswered{NoteOf(request, end.outcome)};
  }
  const auto note = ReadNote(end.answer->head);
  if (!note)
    return unanswered{
        Lost(request, result_code::kPeerLost, run_state::kUnknown)};
  if (!IsAnswer(*note))
    return unanswered{*note};
  SendHeld(sink, *end.answer, *note);
  return answered{};
}

outgoing_request peer_server::MakePassed(const caller_request& request,
                                         const peer_entry& peer) {
  auto out = MakeTargetRequest(request, peer.peer_address, clock_.now());
  out.head.setURI("/v1/services/" + request.service->name + request.path);
  out.head.set(kHeaderHomeRegion, request.home_region);
  out.head.set(kPeerTokenHeader,
               signer_.Sign({.method = request.method,
                             .request_target = out.head.getURI(),
                             .receiver_address = peer.peer_address,
                             .signed_content = PassedContent(
                                 request.home_region, request.idempotency_key,
                                 request.body)}));
  return out;
}

}  // namespace samphire
