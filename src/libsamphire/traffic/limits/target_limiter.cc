#include "traffic/limits/target_limiter.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "base/log.h"
#include "peer/peer_message_codec.h"
#include "routing/permit_grantors.h"

namespace samphire {

namespace {

// Time to wait for a permit: several round trips, and as much again for an
// entry on a small CPU share.
constexpr milliseconds kRegionTimeout{50};
constexpr milliseconds kRemoteTimeout{200};
// Lower bound of the rate at which requests are sent to a target, in requests
// per second. Only a response can tell that the limit has ended.
constexpr double kMinRate = 0.25;
// The time for which permits accrue while nobody asks for them, in seconds.
constexpr double kBurstSeconds = 0.25;
// The shares of the limit that the owner's backup grants while only some
// entries reach the owner, and that all entries grant together which reach
// neither. The sum with the owner's share is less than what targets bear, which
// is half more than they name.
constexpr double kBackupShare = 0.3;
constexpr double kAloneShare = 0.1;
// Upper bound on the time for which a refused entry leaves a target alone.
// Longer ones would leave permits unused when the demand falls.
constexpr milliseconds kMaxRetryAfter{1000};
// Number of targets per shard of the map beyond which those are dropped that
// have no limit or have not been heard of for the time below.
constexpr std::size_t kMaxTargetsPerShard = 256;
constexpr std::chrono::minutes kRetention{10};
// Upper bound on the cached addresses of owners in other regions.
constexpr std::size_t kMaxOwnerAddresses = 4096;

std::optional<double> RateOf(const target_limit_news& limit) {
  if (limit.limited == 0)
    return std::nullopt;
  return limit.rate;
}

target_limit_news MakeNews(const known_rate_limit& limit, time_point now) {
  constexpr milliseconds kMaxAge{std::numeric_limits<std::uint32_t>::max()};
  const auto age = std::chrono::floor<milliseconds>(now - limit.heard_at());
  const auto clamped = std::clamp(age, milliseconds{0}, kMaxAge);
  return {.limited = static_cast<std::uint8_t>(limit.rate() ? 1 : 0),
          .rate = limit.rate().value_or(0),
          .age_ms = static_cast<std::uint32_t>(clamped.count())};
}

std::string OutcomeLabel(permit_role role, bool granted) {
  return fmt::format("role=\"{}\",outcome=\"{}\"",
                     NameOf(kPermitRoleNames, role),
                     granted ? "granted" : "refused");
}

}  // namespace

target_limiter::target_limiter(peer_transport& transport,
                               target_news_channel& news,
                               const traffic_settings& settings,
                               const traffic_state& state,
                               const clock_source& clock,
                               metrics& counters,
                               std::uint64_t first_id)
    : transport_(transport),
      news_(news),
      settings_(settings),
      state_(state),
      clock_(clock),
      metrics_(counters),
      permit_query_(transport,
                    clock,
                    counters,
                    message_kind::kTargetPermitRequest,
                    "target_permits_unanswered_total",
                    first_id) {
  transport_.OnMessage(
      message_kind::kTargetPermitRequest,
      [this](const auto& message) { OnPermitRequest(message); });
  transport_.OnMessage(
      message_kind::kTargetPermitResponse,
      [this](const auto& message) { OnPermitResponse(message); });
}

target_limiter::~target_limiter() {
  for (const auto kind : {message_kind::kTargetPermitRequest,
                          message_kind::kTargetPermitResponse})
    transport_.OnMessage(kind, nullptr);
}

bool target_limiter::IsLimited(const live_target& target) {
  return LimitOf(target.id).has_value();
}

// Entries that reach neither the owner nor its backup share a small part of the
// limit, so that they don't exceed it together with those that do.
permit_decision target_limiter::Take(const live_target& target) {
  const auto limit = LimitOf(target.id);
  if (!limit)
    return {.granted = true};
  metrics_.Count("limited_target_attempts_total");
  auto response = TakeFromGrantor(target, *limit);
  if (!response)
    response = TakeLocally(target.id, permit_role::kAlone);
  return {.granted = response->verdict != target_permit_verdict::kRefused,
          .retry_after = milliseconds(response->retry_after_ms)};
}

std::optional<target_permit_response> target_limiter::TakeFromGrantor(
    const live_target& target,
    const target_limit_news& limit) {
  for (const auto& from : GrantorsOf(target)) {
    if (from.address.empty())
      return TakeLocally(target.id, from.role);
    auto response = RequestPermit(from, target, limit);
    if (!response)
      continue;
    if (response->verdict == target_permit_verdict::kUnlimited)
      ApplyNews(target.id, {.age_ms = response->age_ms});
    return response;
  }
  return std::nullopt;
}

std::vector<target_limiter::grantor> target_limiter::GrantorsOf(
    const live_target& target) {
  const auto entries = state_.entries().Get();
  if (target.region != settings_.place.region) {
    auto address = AddressInRegion(target);
    if (address.empty())
      return {};
    return {{.address = std::move(address)}};
  }
  if (entries->IsIsolated(settings_.min_fleet_size))
    return {};
  const auto chosen = ChooseGrantors(target.id, entries->names);
  std::vector<grantor> grantors;
  const std::pair<std::optional<std::size_t>, permit_role> order[] = {
      {chosen.owner, permit_role::kOwner},
      {chosen.backup, permit_role::kBackup}};
  for (const auto& [index, role] : order) {
    if (!index)
      continue;
    const bool self = IsSelf(*entries, index);
    grantors.push_back(
        {.address = self ? std::string() : entries->peer_addresses[*index],
         .role = role});
  }
  return grantors;
}

std::string target_limiter::AddressInRegion(const live_target& target) {
  const auto entries = state_.entries().Get();
  std::lock_guard guard(lock_);
  const auto owner = owner_addresses_.find(target.id);
  if (owner != owner_addresses_.end())
    return owner->second;
  const auto contacts = entries->other_regions.find(target.region);
  if (contacts == entries->other_regions.end() || contacts->second.empty())
    return {};
  return contacts->second[next_contact_++ % contacts->second.size()];
}

void target_limiter::ForgetAddress(const std::string& target) {
  std::lock_guard guard(lock_);
  owner_addresses_.erase(target);
}

std::optional<target_permit_response> target_limiter::RequestPermit(
    const grantor& from,
    const live_target& target,
    const target_limit_news& limit) {
  const bool remote = target.region != settings_.place.region;
  auto response =
      permit_query_.Send(from.address,
                         {.target = target.id,
                          .limit = limit,
                          .is_final = static_cast<std::uint8_t>(
                              from.role == permit_role::kBackup ? 1 : 0)},
                         target.id, remote ? kRemoteTimeout : kRegionTimeout);
  if (!response && remote)
    ForgetAddress(target.id);
  return response;
}

target_permit_response target_limiter::TakeLocally(const std::string& target,
                                                   permit_role role) {
  const auto now = clock_.now();
  const auto shares = Shares();
  target_permit_response response{.target = target};
  targets_.With(target, [&](auto& targets) {
    auto& state = targets[target];
    const auto& rate = state.limit.rate();
    if (!rate) {
      response.verdict = target_permit_verdict::kUnlimited;
      response.age_ms = MakeNews(state.limit, now).age_ms;
      return;
    }
    const rate_limit limit{.rate = std::max(kMinRate, *rate),
                           .burst = *rate * kBurstSeconds};
    const auto decision = state.permits.Take(role, limit, shares, now);
    if (decision.granted)
      response.verdict = target_permit_verdict::kGranted;
    response.retry_after_ms = static_cast<std::uint32_t>(
        std::min(decision.retry_after, kMaxRetryAfter).count());
  });
  if (response.verdict != target_permit_verdict::kUnlimited) {
    metrics_.Count("target_permits_total",
                   OutcomeLabel(role, response.verdict ==
                                          target_permit_verdict::kGranted));
  }
  return response;
}

void target_limiter::OnPermitRequest(const peer_message& message) {
  auto request = Decode<target_permit_request>(message);
  if (!request)
    return;
  const auto asker =
      request->reply_to.empty() ? message.from : request->reply_to;
  const auto entries = state_.entries().Get();
  const auto owner = OwnerIndex(*entries, request->target);
  const bool is_owner = IsSelf(*entries, owner);
  if (!is_owner && owner && request->is_final == 0) {
    request->is_final = 1;
    request->reply_to = asker;
    Send(entries->peer_addresses[*owner], message_kind::kTargetPermitRequest,
         *request);
    return;
  }
  ApplyNews(request->target, request->limit);
  auto response = TakeLocally(
      request->target, is_owner ? permit_role::kOwner : permit_role::kBackup);
  response.id = request->id;
  Send(asker, message_kind::kTargetPermitResponse, response);
}

void target_limiter::OnPermitResponse(const peer_message& message) {
  const auto response = Decode<target_permit_response>(message);
  if (!response)
    return;
  {
    std::lock_guard guard(lock_);
    if (owner_addresses_.size() >= kMaxOwnerAddresses)
      owner_addresses_.clear();
    owner_addresses_[response->target] = message.from;
  }
  // A permit that arrives too late stays unused.
  permit_query_.Deliver(*response);
}

void target_limiter::OnResponse(const live_target& target,
                                const target_notice& notice,
                                time_point sent_at) {
  bool changed = false;
  bool limited_before = false;
  targets_.With(target.id, [&](auto& targets) {
    auto found = targets.find(target.id);
    if (found == targets.end()) {
      if (!notice.rate_limit)
        return;
      Prune(targets);
      found = targets.try_emplace(target.id).first;
    }
    auto& limit = found->second.limit;
    limited_before = limit.rate().has_value();
    changed = limit.OnResponse(notice.rate_limit, sent_at, clock_.now());
  });
  if (!changed)
    return;
  const bool is_news = limited_before != notice.rate_limit.has_value();
  LogChange(is_news ? log_level::kInfo : log_level::kDebug, target.service,
            target.id, notice.rate_limit, "response");
  if (is_news)
    news_.Publish({.target = target.id,
                   .service = target.service,
                   .limit = {.limited = static_cast<std::uint8_t>(
                                 notice.rate_limit ? 1 : 0),
                             .rate = notice.rate_limit.value_or(0)}});
}

// Entries that have not heard of the limit themselves would send the target as
// much as before until they do, and those that did not hear of its end would
// keep asking for permits.
void target_limiter::OnNews(const target_news& news) {
  if (ApplyNews(news.target, news.limit))
    LogChange(log_level::kInfo, news.service, news.target, RateOf(news.limit),
              "peer");
}

bool target_limiter::ApplyNews(const std::string& target,
                               const target_limit_news& limit) {
  const auto rate = RateOf(limit);
  if (rate && (!std::isfinite(*rate) || *rate < 0))
    return false;
  return targets_.With(target, [&](auto& targets) {
    Prune(targets);
    auto& known = targets[target].limit;
    const bool limited_before = known.rate().has_value();
    known.OnReport(rate, clock_.now() - milliseconds(limit.age_ms));
    return limited_before != known.rate().has_value();
  });
}

std::optional<target_limit_news> target_limiter::LimitOf(
    const std::string& target) {
  return targets_.With(
      target, [&](auto& targets) -> std::optional<target_limit_news> {
        const auto found = targets.find(target);
        if (found == targets.end() || !found->second.limit.rate())
          return std::nullopt;
        return MakeNews(found->second.limit, clock_.now());
      });
}

// Discards the tokens of targets whose permits this entry no longer owns. An
// entry that regains ownership would otherwise grant them in addition to those
// that the other owner granted.
void target_limiter::OnEntriesChanged() {
  const auto entries = state_.entries().Get();
  targets_.ForEach([&](auto& targets) {
    for (auto& [id, state] : targets) {
      if (!IsSelf(*entries, OwnerIndex(*entries, id)))
        state.permits.LoseOwnership();
    }
  });
}

void target_limiter::Prune(target_map& targets) const {
  if (targets.size() < kMaxTargetsPerShard)
    return;
  const auto oldest = clock_.now() - kRetention;
  std::erase_if(targets, [oldest](const auto& each) {
    const auto& limit = each.second.limit;
    return !limit.rate() || limit.heard_at() < oldest;
  });
}

std::optional<std::size_t> target_limiter::OwnerIndex(
    const entry_list& entries,
    const std::string& target) const {
  return ChooseGrantors(target, entries.names).owner;
}

bool target_limiter::IsSelf(const entry_list& entries,
                            const std::optional<std::size_t>& index) const {
  return index && entries.names[*index] == settings_.place.instance;
}

// The region of a target grants its whole limit.
permit_shares target_limiter::Shares() const {
  const auto entries = state_.entries().Get();
  return {.region_entries = entries->names.size(),
          .region_peak = entries->region_peak,
          .fleet_peak = entries->fleet_peak,
          .settled = entries->settled_fleet_size > 0,
          .unchanged_since = entries->unchanged_since,
          .backup_share = kBackupShare,
          .alone_share = kAloneShare,
          .alone_reserve = 0};
}

void target_limiter::LogChange(log_level level,
                               const std::string& service,
                               const std::string& target,
                               const std::optional<double>& rate,
                               const char* source) {
  constexpr double kNoLimit = -1;
  metrics_.Count("target_limit_changes_total");
  Log(level, "target-limit",
      {{"service", service},
       {"target", target},
       {"rate", rate.value_or(kNoLimit)},
       {"source", source}});
}

template <typename Message>
void target_limiter::Send(const std::string& address,
                          message_kind kind,
                          const Message& message) {
  SendToPeer(transport_, metrics_, address, kind, message);
}

template <typename Message>
std::optional<Message> target_limiter::Decode(const peer_message& message) {
  return DecodeFromPeer<Message>(message, metrics_,
                                 "target_limits_malformed_total");
}

}  // namespace samphire
