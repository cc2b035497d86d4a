#include "gateway/fleet_quarantine.h"

#include <algorithm>
#include <map>
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
// Entries of the region that an entry asks after its start at a time; one of
// another region is asked as well.
constexpr std::size_t kPeersToAsk = 3;
// Ticks after which an entry knows what others do, if none has answered: they
// have started with it.
constexpr std::size_t kTicksToKnow = 5;
// Upper bounds on an answer, in messages and losses.
constexpr std::size_t kMaxAnswerMessages = 8;
constexpr std::size_t kMaxAnswerLosses = 64;

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
  news_.on_news = [this](const quarantine_news& news, const std::string& from) {
    OnNews(news, from);
  };
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
  // A name that does not fit can't be told, and only this entry counts it.
  if (notice->target.size() <= kMaxCrashedTargetBytes)
    news_.Publish({.losses = {*notice}});
  if (DecisionFor(fingerprint) == quarantine_decision::kQuarantined)
    OnDecisionChanged(fingerprint, quarantine_source::kLoss);
}

void fleet_quarantine::TargetResponded(const std::string& target,
                                       time_point sent_at) {
  bool alive = false;
  std::vector<request_fingerprint> released;
  {
    std::lock_guard guard(lock_);
    alive = quarantine_.OnTargetResponded(target, sent_at, clock_.now());
    released = quarantine_.TakeReleased();
  }
  if (alive) {
    Log(log_level::kInfo, "target-not-lost", {{"target", target}});
    if (target.size() <= kMaxCrashedTargetBytes)
      news_.Publish({.alive = target});
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
  news_.Publish({.released = std::move(released)});
}

// Entries that missed a loss, or heard of several in another order, would send
// the request again until their turn to be told comes.
void fleet_quarantine::OnDecisionChanged(request_fingerprint fingerprint,
                                         quarantine_source source) {
  quarantine_news news;
  {
    std::lock_guard guard(lock_);
    const auto now = clock_.now();
    if (const auto pause = quarantine_.PauseOf(fingerprint, now))
      news.paused.push_back(*pause);
    if (const auto request = quarantine_.QuarantinedRequest(fingerprint, now))
      news.quarantined.push_back(*request);
    if (source == quarantine_source::kNotice && !news.quarantined.empty())
      untold_.insert(fingerprint);
  }
  const auto source_name = std::string(NameOf(kQuarantineSourceNames, source));
  if (!news.paused.empty()) {
    Log(log_level::kInfo, "request-paused",
        {{"fingerprint", std::to_string(fingerprint)},
         {"source", source_name},
         {"pause_ms",
          static_cast<std::uint64_t>(news.paused.front().remaining_ms)}});
  } else if (!news.quarantined.empty()) {
    metrics_.Count("requests_quarantined_total");
    Log(log_level::kWarning, "request-quarantined",
        {{"fingerprint", std::to_string(fingerprint)},
         {"source", source_name}});
  }
  if (source == quarantine_source::kLoss)
    news_.Publish(std::move(news));
}

void fleet_quarantine::OnNews(const quarantine_news& news,
                              const std::string& from) {
  if (news.purpose == quarantine_news_purpose::kAsk)
    Answer(from);
  if (news.purpose == quarantine_news_purpose::kAnswer)
    answered_ = true;
  const auto now = clock_.now();
  std::map<request_fingerprint, quarantine_source> changed;
  {
    std::lock_guard guard(lock_);
    const auto apply = [&](request_fingerprint fingerprint,
                           quarantine_source source, auto change) {
      const bool refused_before = IsRefused(fingerprint, now);
      const bool convicted_before = quarantine_.IsQuarantined(fingerprint, now);
      change();
      if (IsRefused(fingerprint, now) != refused_before ||
          quarantine_.IsQuarantined(fingerprint, now) != convicted_before)
        changed[fingerprint] = source;
    };
    for (const auto& each : news.losses)
      apply(each.fingerprint, quarantine_source::kNotice,
            [&] { quarantine_.OnNotice(each, now); });
    for (const auto& each : news.paused)
      apply(each.fingerprint, quarantine_source::kPeer,
            [&] { quarantine_.OnPaused(each, now); });
    for (const auto& each : news.quarantined) {
      untold_.erase(each.fingerprint);
      apply(each.fingerprint, quarantine_source::kPeer,
            [&] { quarantine_.OnQuarantined(each, now); });
    }
    if (!news.alive.empty())
      quarantine_.OnTargetAlive(news.alive);
    for (const auto fingerprint : news.released)
      quarantine_.OnReleased(fingerprint, now);
  }
  for (const auto& [fingerprint, source] : changed)
    OnDecisionChanged(fingerprint, source);
}

bool fleet_quarantine::IsRefused(request_fingerprint fingerprint,
                                 time_point now) {
  return quarantine_.Decide(fingerprint, now) ==
         quarantine_decision::kQuarantined;
}

// An entry that restarts so quickly that nobody misses it, or whose start is
// not known yet, would otherwise learn of what crashes targets by doing so.
// Only an entry that knows what others do can end the asking: after the kill of
// most, the others may all have restarted.
void fleet_quarantine::Answer(const std::string& asker) {
  std::vector<quarantined_request> requests;
  std::vector<crash_notice> losses;
  {
    std::lock_guard guard(lock_);
    const auto now = clock_.now();
    requests = quarantine_.QuarantinedRequests(now);
    losses = quarantine_.SuspectedLosses(kMaxAnswerLosses, now);
  }
  const auto purpose = answered_ ? quarantine_news_purpose::kAnswer
                                 : quarantine_news_purpose::kTell;
  for (const auto& each : losses)
    news_.SendTo(asker, {.losses = {each}, .purpose = purpose});
  std::size_t first = 0;
  for (std::size_t i = 0; i < kMaxAnswerMessages; ++i) {
    const auto last = std::min(first + kMaxNewsRequests, requests.size());
    const auto begin = requests.begin();
    news_.SendTo(asker,
                 {.quarantined = {begin + static_cast<std::ptrdiff_t>(first),
                                  begin + static_cast<std::ptrdiff_t>(last)},
                  .purpose = purpose});
    first = last;
    if (first == requests.size())
      return;
  }
}

// An entry serves callers before it knows others of the fleet.
void fleet_quarantine::Ask(const std::vector<std::string>& addresses) {
  for (const auto& address : addresses)
    news_.SendTo(address, {.purpose = quarantine_news_purpose::kAsk});
}

void fleet_quarantine::OnEntriesChanged() {
  if (answered_)
    return;
  const auto peers = news_.peers();
  const quarantine_news question{.purpose = quarantine_news_purpose::kAsk};
  for (std::size_t i = 0; i < std::min(kPeersToAsk, peers.region.size()); ++i)
    news_.SendTo(peers.region[(ticks_ * kPeersToAsk + i) % peers.region.size()],
                 question);
  if (!peers.relays.empty())
    news_.SendTo(peers.relays[ticks_ % peers.relays.size()], question);
}

// Usually the entry that saw the last loss tells. If it does not know those
// before, the first of the others whose tick comes does.
void fleet_quarantine::PublishUntold() {
  quarantine_news news;
  {
    std::lock_guard guard(lock_);
    const auto now = clock_.now();
    for (const auto fingerprint : std::exchange(untold_, {})) {
      const auto request = quarantine_.QuarantinedRequest(fingerprint, now);
      if (request && news.quarantined.size() < kMaxNewsRequests)
        news.quarantined.push_back(*request);
    }
  }
  if (!news.quarantined.empty())
    news_.Publish(std::move(news));
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
  return {.quarantined = std::move(requests)};
}

// An entry that appears in the region is told at once.
void fleet_quarantine::Tick() {
  if (++ticks_ >= kTicksToKnow)
    answered_ = true;
  OnEntriesChanged();
  PublishUntold();
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
