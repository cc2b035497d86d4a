#include "traffic/sending/target_sender.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <utility>

#include "traffic/sending/relay_choice.h"

namespace samphire {

namespace {

// Entries that are asked for one attempt.
constexpr std::size_t kMaxRelays = 3;
// One entry that can't reach a target may be cut off from it as well.
constexpr int kFailuresToBlameTarget = 2;
// A connection that takes longer to fail was not refused: a second entry would
// keep the caller waiting as long.
constexpr milliseconds kQuickFailure{50};

target_exchange_end NotSent() {
  target_exchange_end end;
  end.attempt.result = attempt_result::kNotSent;
  end.reason = result_code::kNoPathToTarget;
  return end;
}

}  // namespace

target_sender::target_sender(const traffic_context& context,
                             traffic_request& request,
                             const caller_watch& caller,
                             response_sink& sink)
    : context_(context),
      request_(request),
      caller_(caller),
      exchange_(context, request, caller, sink) {}

// Between the choice of a target and a send, permits, connections and other
// entries may have taken time.
bool target_sender::IsStillOpen(const live_target& target) const {
  const auto targets = context_.state.targets();
  const auto& known = targets->OfService(target.service);
  const auto found = std::ranges::find(known, target.id, &live_target::id);
  return found != known.end() && targets->IsOpen(*found);
}

target_exchange_end target_sender::Send(const live_target& target,
                                        connection_use use) {
  if (!IsStillOpen(target))
    return NotSent();
  if (context_.links.PathTo(target) == target_path::kRelayed)
    return SendRelayed(target, use);
  auto end = exchange_.Run(target, use);
  if (end.attempt.result != attempt_result::kConnectFailed ||
      context_.links.IsDown(target))
    return end;
  const auto relays = Relays();
  if (relays.empty())
    return end;
  return MayGoOn(target) ? SendThroughPeers(relays, target) : NotSent();
}

// When all entries suspect their links, as after the loss of a region, none
// passes anything on. A direct attempt then decides.
target_exchange_end target_sender::SendRelayed(const live_target& target,
                                               connection_use use) {
  const auto relays = Relays();
  if (!relays.empty()) {
    auto end = SendThroughPeers(relays, target);
    if (end.attempt.result != attempt_result::kNotSent || !MayGoOn(target))
      return end;
  }
  auto end = exchange_.Run(target, use);
  const bool is_evidence =
      end.attempt.result != attempt_result::kConnectFailed || relays.empty() ||
      context_.links.IsDown(target);
  return is_evidence ? std::move(end) : NotSent();
}

target_exchange_end target_sender::SendThroughPeers(
    const std::vector<std::string>& relays,
    const live_target& target) {
  auto end = NotSent();
  int failures = 0;
  for (const auto& relay : relays) {
    const auto started = context_.clock.now();
    auto attempt = exchange_.RunThrough(relay, target);
    context_.counters.Count(
        "relayed_total",
        fmt::format("result=\"{}\"",
                    NameOf(kAttemptResultNames, attempt.attempt.result)));
    const auto result = attempt.attempt.result;
    context_.links.OnRelayed(relay, result != attempt_result::kNotSent &&
                                        result != attempt_result::kLost);
    const bool unreachable = result == attempt_result::kConnectFailed;
    if (!unreachable && result != attempt_result::kNotSent) {
      attempt.path = target_path::kRelayed;
      return attempt;
    }
    if (unreachable) {
      end = std::move(attempt);
      end.path = target_path::kRelayed;
      const bool quick = context_.clock.now() - started < kQuickFailure;
      if (++failures >= kFailuresToBlameTarget || !quick)
        return end;
    }
    if (!MayGoOn(target))
      break;
  }
  return end;
}

std::vector<std::string> target_sender::Relays() const {
  const auto entries = context_.state.entries().Get();
  auto relays =
      RelaysFor(*entries, context_.settings.place, request_.home_regions,
                static_cast<std::uint64_t>(
                    context_.clock.now().time_since_epoch().count()));
  context_.links.RankRelays(relays);
  relays.resize(std::min(relays.size(), kMaxRelays));
  return relays;
}

bool target_sender::MayGoOn(const live_target& target) const {
  return IsStillOpen(target) && request_.body.CanBeSent() &&
         context_.clock.now() < request_.deadline && !caller_.IsDisconnected();
}

}  // namespace samphire
