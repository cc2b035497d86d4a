#include "traffic/placing_client.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// The part of a request's objective that may go into asking.
constexpr std::uint32_t kObjectiveParts = 20;
constexpr milliseconds kShortestWait{10};
constexpr milliseconds kLongestWait{50};
// An owner that did not answer stands still, is gone or is cut off. Each
// request that waits for it loses time, and one a second finds its return.
constexpr milliseconds kSilencePause{1000};

milliseconds WaitFor(const placing_ask& ask) {
  return std::clamp(milliseconds(ask.objective_ms / kObjectiveParts),
                    kShortestWait, kLongestWait);
}

}  // namespace

placing_client::placing_client(peer_transport& transport,
                               const clock_source& clock,
                               metrics& counters,
                               std::uint64_t first_id)
    : transport_(transport),
      clock_(clock),
      metrics_(counters),
      next_id_(first_id) {
  transport_.OnMessage(
      message_kind::kPlacingAnswer,
      [this](const peer_message& message) { OnAnswer(message); });
}

placing_client::~placing_client() {
  transport_.OnMessage(message_kind::kPlacingAnswer, nullptr);
}

std::optional<placing_answer> placing_client::Ask(
    const std::string& owner_address,
    placing_ask ask) {
  if (silent_.IsPaused(owner_address, clock_.now()))
    return std::nullopt;
  ask.id = next_id_++;
  questions_.Expect(ask.id, ask.service);
  const auto sent = transport_.Send(owner_address, message_kind::kPlacingAsk,
                                    EncodeBinary(ask));
  auto answer = questions_.Await(ask.id, sent ? WaitFor(ask) : milliseconds{0});
  if (!answer) {
    metrics_.Count("placing_unanswered_total");
    silent_.Pause(owner_address, clock_.now() + kSilencePause);
  }
  return answer;
}

void placing_client::OnAnswer(const peer_message& message) {
  const auto answer = DecodeBinary<placing_answer>(message.payload);
  if (!answer) {
    metrics_.Count("placing_malformed_total");
    return;
  }
  const auto late_service = questions_.Deliver(answer->id, *answer);
  if (late_service && answer->verdict == placing_verdict::kPlaced) {
    End(message.from, *late_service, answer->id,
        {.result = attempt_result::kCallerGone});
  }
}

void placing_client::End(const std::string& owner_address,
                         const std::string& service,
                         std::uint64_t lease,
                         const attempt_end& end) {
  placing_end told{
      .id = lease,
      .service = service,
      .result = end.result,
      .took_us = static_cast<std::uint64_t>(
          std::chrono::duration_cast<microseconds>(end.took).count()),
      .body_bytes = end.body_bytes};
  if (end.report) {
    told.reported = 1;
    told.running = end.report->running;
    told.waiting = end.report->waiting;
    told.slots = end.report->slots;
  }
  const auto sent = transport_.Send(owner_address, message_kind::kPlacingEnd,
                                    EncodeBinary(told));
  if (!sent)
    metrics_.CountRetry(sent.error().code);
}

}  // namespace samphire
