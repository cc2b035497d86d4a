#include "traffic/limits/target_notices.h"

#include "base/log.h"

namespace samphire {

namespace {

// Time for which a target that has said that it leaves gets no requests. It has
// ended long before; the bound only limits what is remembered.
constexpr std::chrono::hours kLeavingTime{1};

}  // namespace

target_notices::target_notices(service_shards& shards,
                               target_limiter& limiter,
                               target_news_channel& news,
                               const clock_source& clock)
    : shards_(shards), limiter_(limiter), news_(news), clock_(clock) {}

void target_notices::OnResponse(const live_target& target,
                                const target_notice& notice,
                                time_point sent_at) {
  limiter_.OnResponse(target, notice, sent_at);
  if (notice.pause)
    OnPause(target, *notice.pause);
  if (!notice.leaving || !OnLeaving(target, "response"))
    return;
  news_.Publish({.target = target.id,
                 .service = target.service,
                 .started_ms = target.started_ms,
                 .leaving = 1});
}

void target_notices::OnNews(const target_news& news) {
  if (news.leaving == 0) {
    limiter_.OnNews(news);
    return;
  }
  live_target target;
  target.id = news.target;
  target.service = news.service;
  target.started_ms = news.started_ms;
  OnLeaving(target, "peer");
}

// Concerns this entry alone: the target may take requests of others.
void target_notices::OnPause(const live_target& target, milliseconds pause) {
  const auto now = clock_.now();
  shards_.WithService(target.service, [&](auto& shard) {
    shard.tracker.Pause(target, now + pause);
  });
  Log(log_level::kInfo, "target-paused",
      {{"service", target.service},
       {"target", target.id},
       {"pause_ms", pause.count()}});
}

bool target_notices::OnLeaving(const live_target& target, const char* source) {
  const auto now = clock_.now();
  const bool is_news = shards_.WithService(target.service, [&](auto& shard) {
    const bool known = shard.tracker.IsPaused(target, now + kLeavingTime / 2);
    if (!known)
      shard.tracker.Pause(target, now + kLeavingTime);
    return !known;
  });
  if (is_news) {
    Log(log_level::kInfo, "target-leaving",
        {{"service", target.service},
         {"target", target.id},
         {"source", source}});
  }
  return is_news;
}

}  // namespace samphire
