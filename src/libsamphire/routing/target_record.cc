#include "routing/target_record.h"

#include <algorithm>
#include <cmath>

namespace samphire {

namespace {

// Others' load as last reported is worth half after this time: about the time
// in which a target's queue turns over.
constexpr double kReportHalfLifeMs = 800;
// A key that this entry has not sent for so long may have been pushed out;
// others may have sent it since.
constexpr milliseconds kKeyMemory{60'000};
// About what a target remembers; above it the oldest are dropped here too.
constexpr std::size_t kMaxKeys = 64;
// Lost answers in a row before a target is left alone. One alone may be a
// connection that broke; a refused connection counts as two.
constexpr std::uint32_t kFailuresToEject = 2;
constexpr milliseconds kFirstEjection{500};
constexpr std::uint32_t kMaxEjectionStep = 4;
// One outcome moves the share of failures by this much.
constexpr double kFailureWeight = 0.12;
constexpr double kSlownessWeight = 0.2;
constexpr double kMaxSlowness = 12;
constexpr milliseconds kColdWindow{1000};

// An attempt that ran out of time speaks of the target's queue and speed, which
// are counted by themselves. Taken for a failure as well, it drives all keys
// off a target that is merely busy, and each has to be learned elsewhere.
bool IsFailure(attempt_result result) {
  return result == attempt_result::kTargetError ||
         result == attempt_result::kConnectFailed ||
         result == attempt_result::kLost;
}

}  // namespace

void target_record::Describe(const live_target& target,
                             const traffic_service* service,
                             time_point now) {
  if (started_ms_ != 0 && target.started_ms != started_ms_) {
    const auto in_flight = in_flight_;
    *this = target_record();
    in_flight_ = in_flight;
    if (service != nullptr)
      cold_until_ = now + service->warm_up;
  }
  started_ms_ = target.started_ms;
  misdirected_ = false;
  cold_until_ = std::max(cold_until_, target.cold_until);
}

// Made for the first seconds and for targets that have just come: each entry
// sends its callers' requests there, no answer has told of anybody else's yet,
// and together they fill queues with requests that then time out. Entries get
// callers alike, so what this entry has there in the mean tells what each peer
// is likely to have. The report counts for more the fresher it is.
double target_record::Load(double peers, time_point now) const {
  const auto age = LoadAge(now);
  const double guess = peers * own_load_.At(now);
  if (!age)
    return in_flight_ + guess;
  const double fresh =
      std::exp2(-static_cast<double>(age->count()) / kReportHalfLifeMs);
  return in_flight_ + others_ * fresh + guess * (1 - fresh);
}

std::optional<milliseconds> target_record::LoadAge(time_point now) const {
  if (!reported_at_)
    return std::nullopt;
  return std::chrono::floor<milliseconds>(now - *reported_at_);
}

bool target_record::KnowsKey(std::uint64_t key_hash, time_point now) const {
  const auto found = keys_.find(key_hash);
  return found != keys_.end() && now - found->second < kKeyMemory;
}

std::size_t target_record::ColdSends(time_point now) {
  while (!cold_sends_.empty() && now - cold_sends_.front() >= kColdWindow)
    cold_sends_.pop_front();
  return cold_sends_.size();
}

bool target_record::IsFit(time_point now) const {
  if (misdirected_ || now < ejected_until_)
    return false;
  return !on_trial_ || in_flight_ == 0;
}

void target_record::Started(time_point now) {
  ++in_flight_;
  own_load_.Set(in_flight_, now);
  if (IsCold(now))
    cold_sends_.push_back(now);
}

milliseconds target_record::Ended(std::uint64_t key_hash,
                                  const attempt_end& end,
                                  double expected_ms,
                                  const traffic_service* service,
                                  time_point now) {
  in_flight_ -= std::min(1U, in_flight_);
  own_load_.Set(in_flight_, now);
  if (end.report)
    NoteReport(*end.report, now);
  if (end.result == attempt_result::kMisdirected) {
    misdirected_ = true;
    return milliseconds{0};
  }
  if (end.result == attempt_result::kCallerGone)
    return milliseconds{0};
  failure_share_ +=
      ((IsFailure(end.result) ? 1.0 : 0.0) - failure_share_) * kFailureWeight;
  const std::chrono::duration<double, std::milli> took = end.took;
  if (expected_ms > 0) {
    const double sample = std::min(took.count() / expected_ms, kMaxSlowness);
    slowness_ += (sample - slowness_) * kSlownessWeight;
  }
  milliseconds pause{0};
  if (end.result == attempt_result::kConnectFailed) {
    may_be_cold_ = true;
    pause = Eject(now);
  } else if (end.result == attempt_result::kLost) {
    if (++failures_in_a_row_ >= kFailuresToEject)
      pause = Eject(now);
  } else {
    failures_in_a_row_ = 0;
    ejections_in_a_row_ = 0;
    on_trial_ = false;
    if (may_be_cold_ && service != nullptr)
      cold_until_ = std::max(cold_until_, now + service->warm_up);
    may_be_cold_ = false;
  }
  if (end.result == attempt_result::kAnswered) {
    keys_[key_hash] = now;
    if (keys_.size() > kMaxKeys) {
      keys_.erase(std::min_element(
          keys_.begin(), keys_.end(),
          [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
  }
  return pause;
}

// A crashed target comes back after some seconds, and every request sent there
// meanwhile loses a connection attempt or, with a dead machine, half a second.
// The pauses double, so that a target that stays away costs little.
milliseconds target_record::Eject(time_point now) {
  const auto pause = kFirstEjection * (1U << ejections_in_a_row_);
  ejected_until_ = now + pause;
  ejections_in_a_row_ = std::min(ejections_in_a_row_ + 1, kMaxEjectionStep);
  failures_in_a_row_ = 0;
  on_trial_ = true;
  return pause;
}

void target_record::NoteReport(const target_report& report, time_point now) {
  const double all = report.running + report.waiting;
  others_ = std::max(0.0, all - in_flight_);
  reported_at_ = now;
}

}  // namespace samphire
