#include "decision/target_health.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

using std::chrono::milliseconds;

// Five failures in a row are no accident at any error rate that one would
// leave a target in service for: at 10% they come once in 100,000 requests.
constexpr std::uint32_t kFailuresToEject = 5;
// Slow is three times the median of its peers, over at least ten answers: one
// request in twenty takes four times the mean, and a run of two or three of
// those must not eject.
constexpr double kSlowRatio = 3;
constexpr std::uint32_t kSamplesToJudge = 10;
constexpr double kSlownessWeight = 0.1;
// A sample counts for no more than this: work has a long tail, and a single
// request of twenty times the mean must not eject the target that it met.
constexpr double kMaxSlownessSample = 5;
// A slowness below which no target is slow, whatever its peers do.
constexpr double kLeastSlowness = 2;
// The first ejection is short, since most faults are; each further one doubles
// it, so that a target which stays broken costs one probe a minute.
constexpr duration kFirstBackOff = milliseconds(1000);
constexpr std::uint32_t kMaxBackOffStep = 6;
// This many answers in service take one step of the back-off away.
constexpr std::uint32_t kSamplesToForgive = 50;

bool IsFailure(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kTargetError:
    case attempt_outcome::kConnectFailed:
    case attempt_outcome::kTimedOut:
    case attempt_outcome::kTruncated:
    case attempt_outcome::kLost:
      return true;
    // A target that sheds is alive and says so; its ramp is cut instead. A
    // cancelled attempt tells of the caller, not of the target.
    case attempt_outcome::kOk:
    case attempt_outcome::kTargetShed:
    case attempt_outcome::kCancelled:
      return false;
  }
  return false;
}

}  // namespace

void target_health::OnOutcome(attempt_outcome outcome, double slowness) {
  if (slowness > 0) {
    ++samples_;
    const double sample = std::min(slowness, kMaxSlownessSample);
    slowness_ += (sample - slowness_) * kSlownessWeight;
  }
  if (IsFailure(outcome)) {
    ++failures_in_a_row_;
  } else if (outcome == attempt_outcome::kOk) {
    failures_in_a_row_ = 0;
    if (samples_ % kSamplesToForgive == 0 && back_off_step_ > 0)
      --back_off_step_;
  }
}

bool target_health::LooksFailed() const {
  return failures_in_a_row_ >= kFailuresToEject;
}

bool target_health::LooksSlow(double peer_median) const {
  return peer_median > 0 && samples_ >= kSamplesToJudge &&
         slowness_ > std::max(kLeastSlowness, kSlowRatio * peer_median);
}

void target_health::Eject(ejection_cause cause, time_point now) {
  state_ = state::kEjected;
  cause_ = cause;
  ejected_until_ = now + kFirstBackOff * (1U << back_off_step_);
  back_off_step_ = std::min(back_off_step_ + 1, kMaxBackOffStep);
}

void target_health::StartProbe() {
  state_ = state::kProbing;
}

void target_health::AbandonProbe() {
  state_ = state::kEjected;
}

void target_health::Readmit() {
  state_ = state::kServing;
  failures_in_a_row_ = 0;
  samples_ = 0;
  // What was measured before the ejection no longer holds; were it kept, the
  // target would be ejected again on its next answer.
  slowness_ = 1;
}

}  // namespace samphire
