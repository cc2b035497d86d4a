#include "routing/target_record.h"

#include <algorithm>
#include <cmath>

namespace samphire {

namespace {

// The half-life of the weight of a target's load report: about the time in
// which a target's queue turns over.
constexpr double kReportHalfLifeMs = 800;
// A key that this entry has not sent for this long may have been evicted from
// the target's memory; other entries may have sent it since.
constexpr milliseconds kKeyRetention{60'000};
// About the number of keys that a target has in memory. Beyond it, the least
// recently used one is dropped here too.
constexpr std::size_t kMaxKeys = 64;
// The number of consecutive lost responses after which a target is ejected. A
// single one may be due to a broken connection; a failure to connect ejects the
// target at once.
constexpr std::uint32_t kFailuresToEject = 2;
constexpr milliseconds kFirstEjection{500};
// Upper bound on the doublings of the ejection time, which thus is at most 8 s.
constexpr std::uint32_t kMaxEjectionStep = 4;
// The weight of one result in the share of failures.
constexpr double kFailureWeight = 0.12;
constexpr double kSlownessWeight = 0.2;
// Upper bound on one sample of the slowness.
constexpr double kMaxSlowness = 12;
// A cold target's rate is declared in requests per second.
constexpr milliseconds kColdWindow{1000};

// A timeout indicates a long queue or a slow target, which are accounted for
// separately. If it counted as a failure as well, all keys would move away from
// a target that is merely busy, and other targets would have to load them.
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

// Estimates the load that other entries cause while no report is available, in
// the first seconds and for targets that have just started. Each entry sends
// its callers' requests there without a response that reports the others' load,
// and together they fill queues with requests that then time out. Callers are
// spread evenly over entries, so this entry's mean load at the target indicates
// that of each peer. The more recent a report is, the higher its weight.
double target_record::Load(double peer_factor, time_point now) const {
  const auto age = LoadAge(now);
  const double estimate = peer_factor * average_own_load_.At(now);
  if (!age)
    return in_flight_ + estimate;
  const double report_weight =
      std::exp2(-static_cast<double>(age->count()) / kReportHalfLifeMs);
  return in_flight_ + peer_load_ * report_weight +
         estimate * (1 - report_weight);
}

std::optional<milliseconds> target_record::LoadAge(time_point now) const {
  if (!reported_at_)
    return std::nullopt;
  return std::chrono::floor<milliseconds>(now - *reported_at_);
}

bool target_record::KnowsKey(std::uint64_t key_hash, time_point now) const {
  const auto found = keys_.find(key_hash);
  return found != keys_.end() && now - found->second < kKeyRetention;
}

std::size_t target_record::ColdSends(time_point now) {
  while (!cold_sends_.empty() && now - cold_sends_.front() >= kColdWindow)
    cold_sends_.pop_front();
  return cold_sends_.size();
}

bool target_record::IsEligible(time_point now) const {
  if (misdirected_ || now < ejected_until_)
    return false;
  return !half_open_ || in_flight_ == 0;
}

void target_record::Started(time_point now) {
  ++in_flight_;
  average_own_load_.Set(in_flight_, now);
  if (IsCold(now))
    cold_sends_.push_back(now);
}

milliseconds target_record::Ended(std::uint64_t key_hash,
                                  const attempt_end& end,
                                  double expected_ms,
                                  const traffic_service* service,
                                  time_point now) {
  in_flight_ -= std::min(1U, in_flight_);
  average_own_load_.Set(in_flight_, now);
  if (end.report)
    OnReport(*end.report, now);
  if (end.result == attempt_result::kMisdirected) {
    misdirected_ = true;
    return milliseconds{0};
  }
  if (end.result == attempt_result::kCallerGone ||
      end.result == attempt_result::kNotSent)
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
    if (++consecutive_failures_ >= kFailuresToEject)
      pause = Eject(now);
  } else {
    consecutive_failures_ = 0;
    consecutive_ejections_ = 0;
    half_open_ = false;
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

// A crashed target restarts after some seconds. Every request sent there in the
// meantime costs a connection attempt or, if the machine is down, half a
// second. The ejection time doubles, so that a target that stays down causes
// little cost.
milliseconds target_record::Eject(time_point now) {
  const auto pause = kFirstEjection * (1U << consecutive_ejections_);
  ejected_until_ = now + pause;
  consecutive_ejections_ =
      std::min(consecutive_ejections_ + 1, kMaxEjectionStep);
  consecutive_failures_ = 0;
  half_open_ = true;
  return pause;
}

void target_record::OnReport(const target_report& report, time_point now) {
  const double all = report.running + report.waiting;
  peer_load_ = std::max(0.0, all - in_flight_);
  reported_at_ = now;
}

}  // namespace samphire
