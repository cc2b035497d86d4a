#include "gateway/fleet_quarantine.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/log.h"

namespace samphire {

namespace {

// Each second tick tells two entries of the region and one of another region.
// In a region of any size, an entry that has started hears of what is in
// quarantine within a few seconds.
constexpr std::size_t kTicksPerNews = 2;
constexpr std::size_t kPeersPerNews = 2;

}  // namespace

fleet_quarantine::fleet_quarantine(
    peer_transport& transport,
    news_channel<quarantine_news>::peer_provider peers,
    const clock_source& clock,
    metrics& counters)
    : clock_(clock),
      metrics_(counters),
      news_(transport,
            message_kind::kQuarantine,
            "quarantine_news_malformed_total",
            std::move(peers),
            counters) {
  news_.on_news = [this](const quarantine_news& news) { OnNews(news); };
}

quarantine_decision fleet_quarantine::DecisionFor(
    request_fingerprint fingerprint) {
  std::lock_guard guard(lock_);
  return quarantine_.Decide(fingerprint, clock_.now());
}

milliseconds fleet_quarantine::RefusedFor(request_fingerprint fingerprint) {
  std::lock_guard guard(lock_);
  return std::chrono::ceil<milliseconds>(
      quarantine_.RefusedFor(fingerprint, clock_.now()));
}

std::vector<std::string> fleet_quarantine::LostTargets(
    request_fingerprint fingerprint) {
  std::lock_guard guard(lock_);
  return quarantine_.TargetsLostWith(fingerprint, clock_.now());
}

void fleet_quarantine::AttemptStarted(request_fingerprint fingerprint,
                                      const std::string& target) {
  std::lock_guard guard(lock_);
  quarantine_.OnAttemptStarted(fingerprint, target);
}

void fleet_quarantine::AttemptFinished(request_fingerprint fingerprint,
                                       const std::string& target,
                                       attempt_outcome outcome,
                                       duration ran) {
  std::optional<crash_notice> notice;
  std::vector<request_fingerprint> released;
  {
    std::lock_guard guard(lock_);
    notice = quarantine_.OnAttemptFinished(fingerprint, target, outcome,
                                           clock_.now(), ran);
    released = quarantine_.TakeReleased();
  }
  PublishReleased(std::move(released));
  if (!notice)
    return;
  Log(log_level::kWarning, "target-lost-with-request",
      {{"target", target},
       {"fingerprint", std::to_string(fingerprint)},
       {"alone", notice->alone},
       {"ran_ms", static_cast<std::uint64_t>(notice->ran_ms)}});
  metrics_.Count("crash_notices_total");
  LogDecision(fingerprint, "loss");
  // A name that does not fit can't be told, and only this entry counts it.
  if (notice->target.size() <= kMaxCrashedTargetBytes)
    news_.Publish({.losses = {*notice}, .quarantined = {}, .released = {}});
}

void fleet_quarantine::TargetResponded(const std::string& target,
                                       time_point sent_at) {
  std::vector<request_fingerprint> released;
  {
    std::lock_guard guard(lock_);
    quarantine_.OnTargetResponded(target, sent_at, clock_.now());
    released = quarantine_.TakeReleased();
  }
  PublishReleased(std::move(released));
}

void fleet_quarantine::PublishReleased(
    std::vector<request_fingerprint> released) {
  if (released.empty())
    return;
  for (const auto fingerprint : released) {
    Log(log_level::kInfo, "request-released",
        {{"fingerprint", std::to_string(fingerprint)}});
  }
  released.resize(std::min(released.size(), kMaxNewsRequests));
  news_.Publish(
      {.losses = {}, .quarantined = {}, .released = std::move(released)});
}

void fleet_quarantine::LogDecision(request_fingerprint fingerprint,
                                   const char* source) {
  if (DecisionFor(fingerprint) != quarantine_decision::kQuarantined)
    return;
  metrics_.Count("requests_quarantined_total");
  Log(log_level::kWarning, "request-quarantined",
      {{"fingerprint", std::to_string(fingerprint)}, {"source", source}});
}

void fleet_quarantine::OnNews(const quarantine_news& news) {
  const auto now = clock_.now();
  std::vector<request_fingerprint> changed;
  {
    std::lock_guard guard(lock_);
    const auto apply = [&](request_fingerprint fingerprint, auto change) {
      const auto before = quarantine_.Decide(fingerprint, now);
      change();
      if (quarantine_.Decide(fingerprint, now) != before)
        changed.push_back(fingerprint);
    };
    for (const auto& each : news.losses)
      apply(each.fingerprint, [&] { quarantine_.OnNotice(each, now); });
    for (const auto& each : news.quarantined)
      apply(each.fingerprint, [&] { quarantine_.OnQuarantined(each, now); });
    for (const auto fingerprint : news.released)
      quarantine_.OnReleased(fingerprint, now);
  }
  for (const auto fingerprint : changed)
    LogDecision(fingerprint, "peer");
}

quarantine_news fleet_quarantine::NextQuarantineNews() {
  std::lock_guard guard(lock_);
  auto requests = quarantine_.QuarantinedRequests(clock_.now());
  const auto count = std::min(requests.size(), kMaxNewsRequests);
  if (!requests.empty()) {
    const auto first =
        (ticks_ / kTicksPerNews * kMaxNewsRequests) % requests.size();
    std::rotate(requests.begin(),
                requests.begin() + static_cast<std::ptrdiff_t>(first),
                requests.end());
  }
  requests.resize(count);
  return {.losses = {}, .quarantined = std::move(requests), .released = {}};
}

// An entry that appears in the region is told at once.
void fleet_quarantine::Tick() {
  ++ticks_;
  const auto peers = news_.peers();
  const auto known = std::exchange(told_, peers.region);
  const auto news = NextQuarantineNews();
  if (news.quarantined.empty())
    return;
  for (const auto& address : peers.region) {
    if (std::ranges::find(known, address) == known.end())
      news_.SendTo(address, news);
  }
  if (ticks_ % kTicksPerNews != 0)
    return;
  const auto turn = ticks_ / kTicksPerNews;
  for (std::size_t i = 0; i < std::min(kPeersPerNews, peers.region.size()); ++i)
    news_.SendTo(peers.region[(turn * kPeersPerNews + i) % peers.region.size()],
                 news);
  if (!peers.relays.empty())
    news_.SendTo(peers.relays[turn % peers.relays.size()], news);
}

std::size_t fleet_quarantine::quarantined() const {
  std::lock_guard guard(lock_);
  return quarantine_.quarantined();
}

std::uint64_t fleet_quarantine::targets_lost() const {
  std::lock_guard guard(lock_);
  return quarantine_.targets_lost();
}

}  // namespace samphire
