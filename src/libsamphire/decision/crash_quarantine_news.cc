// What entries tell each other of the requests that they refuse.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "decision/crash_quarantine.h"
#include "decision/crash_quarantine_times.h"

namespace samphire {

namespace {

// Upper bound on a pause that another entry tells.
constexpr milliseconds kMaxTrialPause{16'000};

// Returns 0 for a time that has passed.
std::uint32_t WholeSecondsUntil(time_point end, time_point now) {
  const auto left = std::chrono::floor<std::chrono::seconds>(
      std::max(duration{0}, end - now));
  return static_cast<std::uint32_t>(left.count());
}

}  // namespace

std::vector<quarantined_request> crash_quarantine::QuarantinedRequests(
    time_point now) {
  std::vector<quarantined_request> requests;
  quarantined_.ForEach([&](request_fingerprint fingerprint, const auto& term) {
    const auto left = WholeSecondsUntil(term.ends_at, now);
    if (left > 0)
      requests.push_back({fingerprint, left});
  });
  return requests;
}

std::optional<quarantined_request> crash_quarantine::QuarantinedRequest(
    request_fingerprint fingerprint,
    time_point now) {
  if (!IsQuarantined(fingerprint, now))
    return std::nullopt;
  const auto* term = quarantined_.Find(fingerprint, now);
  return quarantined_request{fingerprint,
                             WholeSecondsUntil(term->ends_at, now)};
}

// A request that this entry has seen answered is quarantined only for losses
// that this entry hears of itself: the sender may not know of the response.
void crash_quarantine::OnQuarantined(const quarantined_request& request,
                                     time_point now) {
  if (answered_.Find(request.fingerprint, now) != nullptr)
    return;
  const auto ends_at =
      now + std::min<duration>(kQuarantineTime,
                               std::chrono::seconds(request.remaining_s));
  if (const auto* term = quarantined_.Find(request.fingerprint, now);
      term != nullptr && term->ends_at >= ends_at)
    return;
  quarantined_.Touch(request.fingerprint, now).ends_at = ends_at;
  suspects_.Erase(request.fingerprint);
}

std::optional<paused_request> crash_quarantine::PauseOf(
    request_fingerprint fingerprint,
    time_point now) {
  const auto* known = suspects_.Find(fingerprint, now);
  if (known == nullptr || now >= known->refused_until)
    return std::nullopt;
  const auto left =
      std::chrono::floor<milliseconds>(known->refused_until - now);
  return paused_request{fingerprint, static_cast<std::uint32_t>(left.count())};
}

void crash_quarantine::OnPaused(const paused_request& request, time_point now) {
  if (answered_.Find(request.fingerprint, now) != nullptr ||
      IsQuarantined(request.fingerprint, now))
    return;
  const auto ends_at =
      now + std::min(milliseconds(request.remaining_ms), kMaxTrialPause);
  auto& known = suspects_.Touch(request.fingerprint, now);
  known.refused_until = std::max(known.refused_until, ends_at);
}

std::vector<crash_notice> crash_quarantine::SuspectedLosses(std::size_t limit,
                                                            time_point now) {
  std::vector<crash_notice> losses;
  const auto in_ms = [](duration time) {
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  suspects_.ForEach([&](request_fingerprint fingerprint, const suspect& each) {
    for (const auto& crash : each.crashes) {
      if (losses.size() < limit && now - crash.lost_at < kSuspicionTime)
        losses.push_back({.fingerprint = fingerprint,
                          .target = crash.target,
                          .alone = crash.alone,
                          .ran_ms = in_ms(crash.lost_at - crash.started_at),
                          .age_ms = in_ms(now - crash.lost_at)});
    }
  });
  return losses;
}

void crash_quarantine::OnReleased(request_fingerprint fingerprint,
                                  time_point now) {
  answered_.Touch(fingerprint, now);
  suspects_.Erase(fingerprint);
  quarantined_.Erase(fingerprint);
}

std::vector<request_fingerprint> crash_quarantine::TakeReleased() {
  return std::exchange(released_, {});
}

}  // namespace samphire
