#include "decision/target_health.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

using std::chrono::milliseconds;

// Five failures in a row are no coincidence at any error rate at which one
// would leave a target in service: at 10% they occur once in 100,000 requests.
constexpr std::uint32_t kFailuresToEject = 5;
// A target is slow at three times the median of its peers, over at least ten
// samples: one request in twenty takes four times the mean, and a run of two or
// three of those must not eject a target.
constexpr double kSlowRatio = 3;
constexpr std::uint32_t kMinSamplesForSlowness = 10;
constexpr double kSlownessWeight = 0.1;
// Upper limit of a single sample: service times have a long tail, and one
// request that takes twenty times the mean must not eject the target that
// served it.
constexpr double kMaxSlownessSample = 5;
// No target counts as slow below this slowness, whatever that of its peers.
constexpr double kMinSlowness = 2;
// The first ejection is short, since most faults are; each further one doubles
// the backoff, so that a target which stays broken costs one probe a minute.
constexpr duration kInitialBackoff = milliseconds(1000);
constexpr std::uint32_t kMaxBackoffStep = 6;
// This many samples in service reduce the backoff by one step.
constexpr std::uint32_t kSamplesPerBackoffDecay = 50;

bool IsFailure(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kTargetError:
    case attempt_outcome::kConnectFailed:
    case attempt_outcome::kTimedOut:
    case attempt_outcome::kTruncated:
    case attempt_outcome::kLost:
      return true;
    // A target that sheds load is alive and responds; its ramp is reduced
    // instead. A cancelled attempt is due to the caller, not to the target.
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
    ++consecutive_failures_;
  } else if (outcome == attempt_outcome::kOk) {
    consecutive_failures_ = 0;
    if (samples_ % kSamplesPerBackoffDecay == 0 && backoff_step_ > 0)
      --backoff_step_;
  }
}

bool target_health::IsFailing() const {
  return consecutive_failures_ >= kFailuresToEject;
}

bool target_health::IsSlow(double peer_median) const {
  return peer_median > 0 && samples_ >= kMinSamplesForSlowness &&
         slowness_ > std::max(kMinSlowness, kSlowRatio * peer_median);
}

void target_health::Eject(ejection_cause cause, time_point now) {
  state_ = state::kEjected;
  cause_ = cause;
  ejected_until_ = now + kInitialBackoff * (1U << backoff_step_);
  backoff_step_ = std::min(backoff_step_ + 1, kMaxBackoffStep);
}

void target_health::StartProbe() {
  state_ = state::kProbing;
}

void target_health::AbandonProbe() {
  state_ = state::kEjected;
}

void target_health::Readmit() {
  state_ = state::kServing;
  consecutive_failures_ = 0;
  samples_ = 0;
  // Measurements from before the ejection are no longer valid; if they were
  // kept, the target would be ejected again on its next response.
  slowness_ = 1;
}

}  // namespace samphire
