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
// Late answers come within a second or not at all.
constexpr std::size_t kMaxGivenUp = 256;

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
  {
    std::lock_guard guard(lock_);
    questions_[ask.id].service = ask.service;
  }
  const auto sent = transport_.Send(owner_address, message_kind::kPlacingAsk,
                                    EncodeBinary(ask));
  auto answer = Await(ask.id, sent ? WaitFor(ask) : milliseconds{0});
  if (!answer) {
    metrics_.Count("placing_unanswered_total");
    silent_.Pause(owner_address, clock_.now() + kSilencePause);
  }
  return answer;
}

std::optional<placing_answer> placing_client::Await(std::uint64_t id,
                                                    milliseconds wait) {
  std::unique_lock guard(lock_);
  answered_.wait_for(guard, wait,
                     [&] { return questions_.at(id).answer.has_value(); });
  auto asked = questions_.extract(id);
  if (!asked.mapped().answer) {
    given_up_.emplace(id, std::move(asked.mapped().service));
    if (given_up_.size() > kMaxGivenUp)
      given_up_.erase(given_up_.begin());
  }
  return std::move(asked.mapped().answer);
}

void placing_client::OnAnswer(const peer_message& message) {
  auto answer = DecodeBinary<placing_answer>(message.payload);
  if (!answer) {
    metrics_.Count("placing_malformed_total");
    return;
  }
  std::string late_service;
  {
    std::lock_guard guard(lock_);
    const auto asked = questions_.find(answer->id);
    if (asked != questions_.end()) {
      asked->second.answer = std::move(*answer);
      answered_.notify_all();
      return;
    }
    const auto late = given_up_.extract(answer->id);
    if (late.empty())
      return;
    late_service = late.mapped();
  }
  if (answer->verdict == placing_verdict::kPlaced) {
    End(message.from, late_service, answer->id,
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
