#include "traffic/limits/team_limiter.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "peer/peer_message_codec.h"

namespace samphire {

namespace {

// Time to wait for a permit. Owners in the same region usually respond within a
// few milliseconds, but may take longer on a small CPU share while they load a
// new configuration.
constexpr milliseconds kResponseTimeout{100};
// Fraction of the limit's slack that absorbs short bursts of small teams. The
// rest covers permits granted twice while entries disagree on a team's owner.
constexpr double kReserveOfSlack = 0.4;
// Retry time given to callers that the startup allowance refuses. Most entries
// know each other after this time.
constexpr milliseconds kStartupRetryAfter{500};
// Maximum time for which another entry's refusal is cached and applied without
// another request to that entry.
constexpr milliseconds kMaxRefusalAge{200};
// Time after a refusal during which a team is assumed to exceed its limit.
constexpr milliseconds kOverLimitWindow{3000};

std::string OutcomeLabel(permit_role role, bool granted) {
  return fmt::format("role=\"{}\",outcome=\"{}\"",
                     NameOf(kPermitRoleNames, role),
                     granted ? "granted" : "refused");
}

}  // namespace

team_limiter::team_limiter(peer_transport& transport,
                           const traffic_settings& settings,
                           const traffic_state& state,
                           const clock_source& clock,
                           metrics& counters,
                           std::uint64_t first_id)
    : transport_(transport),
      settings_(settings),
      state_(state),
      clock_(clock),
      metrics_(counters),
      permit_query_(transport,
                    clock,
                    counters,
                    message_kind::kPermitRequest,
                    "permits_unanswered_total",
                    first_id),
      started_(clock.now()) {
  transport_.OnMessage(message_kind::kPermitRequest,
                       [this](const auto& message) { OnRequest(message); });
  transport_.OnMessage(message_kind::kPermitResponse,
                       [this](const auto& message) { OnResponse(message); });
  transport_.OnMessage(message_kind::kPermitReturn,
                       [this](const auto& message) { OnReturn(message); });
  transport_.OnMessage(message_kind::kPermitLoanRequest,
                       [this](const auto& message) { OnLoanRequest(message); });
  transport_.OnMessage(message_kind::kPermitLoan,
                       [this](const auto& message) { OnLoan(message); });
}

team_limiter::~team_limiter() {
  for (const auto kind :
       {message_kind::kPermitRequest, message_kind::kPermitResponse,
        message_kind::kPermitReturn, message_kind::kPermitLoanRequest,
        message_kind::kPermitLoan})
    transport_.OnMessage(kind, nullptr);
}

// Queries the owner, then the backup owner. If neither responds, grants from a
// small share of this entry's own, so that isolated entries keep serving
// requests without exceeding the limit together.
team_permit team_limiter::Take(const std::string& team) {
  const auto manifest = state_.manifest();
  const auto* known = FindTeam(manifest.get(), team);
  if (known == nullptr || !known->limit.IsSet())
    return {.decision = {.granted = true}};
  if (auto refusal = StartupRefusal(*manifest, *known))
    return std::move(*refusal);
  if (auto refusal = RecentRefusal(team))
    return std::move(*refusal);
  if (auto permit = TakeFromGrantor(team, known->limit))
    return std::move(*permit);
  return {.decision = TakeLocally(team, permit_role::kAlone, known->limit),
          .role = permit_role::kAlone};
}

std::optional<team_permit> team_limiter::TakeFromGrantor(
    const std::string& team,
    const rate_limit& limit) {
  const auto entries = state_.entries().Get();
  if (entries->IsIsolated(settings_.min_fleet_size))
    return std::nullopt;
  const auto grantors = ChooseGrantors(team, entries->names);
  const std::pair<std::optional<std::size_t>, permit_role> order[] = {
      {grantors.owner, permit_role::kOwner},
      {grantors.backup, permit_role::kBackup}};
  for (const auto& [index, role] : order) {
    if (!index)
      continue;
    if (IsSelf(*entries, index))
      return team_permit{.decision = TakeLocally(team, role, limit),
                         .role = role};
    const auto& address = entries->peer_addresses[*index];
    const auto response =
        permit_query_.Send(address, {.team = team}, team, kResponseTimeout);
    if (!response && WasRefusedRecently(team))
      return team_permit{.decision = {.retry_after = kMaxRefusalAge},
                         .role = permit_role::kAlone};
    if (!response || response->verdict == permit_verdict::kUnknownTeam)
      continue;
    team_permit permit{
        .decision = {.granted = response->verdict == permit_verdict::kGranted,
                     .retry_after = milliseconds(response->retry_after_ms)},
        .role = role,
        .grantor_address = address};
    if (!permit.decision.granted)
      CacheRefusal(team, permit);
    return permit;
  }
  return std::nullopt;
}

std::optional<team_permit> team_limiter::StartupRefusal(
    const traffic_manifest& manifest,
    const traffic_team& team) {
  if (clock_.now() - started_ >= settings_.startup_time)
    return std::nullopt;
  const double share = team.limit.rate / manifest.total_team_rate();
  std::lock_guard guard(lock_);
  if (startup_.TryTake(team.name, share))
    return std::nullopt;
  return team_permit{.decision = {.retry_after = kStartupRetryAfter},
                     .role = permit_role::kAlone};
}

// Caches refusals so that a team far over its limit does not overload its owner
// with permit requests.
std::optional<team_permit> team_limiter::RecentRefusal(
    const std::string& team) {
  return teams_.With(team, [&](auto& teams) -> std::optional<team_permit> {
    const auto found = teams.find(team);
    if (found == teams.end() || !found->second.refused_at)
      return std::nullopt;
    const auto& refusal = found->second.refusal;
    const auto age = clock_.now() - *found->second.refused_at;
    if (age >= std::min(refusal.decision.retry_after, kMaxRefusalAge))
      return std::nullopt;
    return refusal;
  });
}

// An owner may be too busy to respond in time because a team far over its limit
// causes many permit requests. The backup must not replace such an owner, since
// both would grant permits and exceed the limit together.
bool team_limiter::WasRefusedRecently(const std::string& team) {
  return teams_.With(team, [&](auto& teams) {
    const auto found = teams.find(team);
    return found != teams.end() && found->second.refused_at &&
           clock_.now() - *found->second.refused_at < kOverLimitWindow;
  });
}

void team_limiter::CacheRefusal(const std::string& team,
                                const team_permit& refusal) {
  teams_.With(team, [&](auto& teams) {
    auto& state = teams[team];
    state.refusal = refusal;
    state.refused_at = clock_.now();
  });
}

permit_decision team_limiter::TakeLocally(const std::string& team,
                                          permit_role role,
                                          const rate_limit& limit) {
  const auto now = clock_.now();
  const auto shares = Shares();
  bool should_borrow = false;
  const auto decision = teams_.With(team, [&](auto& teams) {
    auto& permits = teams[team].permits;
    const auto taken = permits.Take(role, limit, shares, now);
    should_borrow =
        role == permit_role::kOwner && permits.ShouldBorrow(limit, shares, now);
    return taken;
  });
  metrics_.Count("team_permits_total", OutcomeLabel(role, decision.granted));
  if (should_borrow)
    RequestLoans(team);
  return decision;
}

void team_limiter::ReturnPermit(const std::string& team,
                                const team_permit& permit) {
  if (permit.grantor_address.empty())
    ReturnLocally(team, permit.role);
  else
    Send(permit.grantor_address, message_kind::kPermitReturn,
         permit_return{team});
}

void team_limiter::ReturnLocally(const std::string& team, permit_role role) {
  const auto manifest = state_.manifest();
  const auto* known = FindTeam(manifest.get(), team);
  if (known == nullptr)
    return;
  const auto shares = Shares();
  teams_.With(team, [&](auto& teams) {
    teams[team].permits.ReturnPermit(role, known->limit, shares);
  });
}

// Discards the tokens of teams that this entry no longer owns. An entry that
// regains ownership would otherwise grant them in addition to those that the
// other owner granted.
void team_limiter::OnEntriesChanged() {
  const auto entries = state_.entries().Get();
  teams_.ForEach([&](auto& teams) {
    for (auto& [team, state] : teams) {
      const auto owner = ChooseGrantors(team, entries->names).owner;
      if (!IsSelf(*entries, owner))
        state.permits.LoseOwnership();
    }
  });
}

void team_limiter::RequestLoans(const std::string& team) {
  const auto entries = state_.entries().Get();
  for (const auto& [region, contacts] : entries->other_regions) {
    const auto address = LoanRequestAddress(region, contacts, team);
    if (!address.empty())
      Send(address, message_kind::kPermitLoanRequest,
           permit_loan_request{team});
  }
}

// Removes the cached address, since its entry may be gone. The next loan caches
// it again.
std::string team_limiter::LoanRequestAddress(
    const std::string& region,
    const std::vector<std::string>& contacts,
    const std::string& team) {
  std::lock_guard guard(lock_);
  auto known = owner_addresses_.extract({team, region});
  if (!known.empty())
    return std::move(known.mapped());
  return contacts.empty() ? std::string()
                          : contacts[next_contact_++ % contacts.size()];
}

void team_limiter::OnRequest(const peer_message& message) {
  const auto request = Decode<permit_request>(message);
  if (!request)
    return;
  permit_response response{.id = request->id};
  const auto manifest = state_.manifest();
  if (const auto* team = FindTeam(manifest.get(), request->team)) {
    const auto decision =
        team->limit.IsSet()
            ? TakeLocally(request->team, OwnRole(request->team), team->limit)
            : permit_decision{.granted = true};
    response.verdict =
        decision.granted ? permit_verdict::kGranted : permit_verdict::kRefused;
    response.retry_after_ms =
        static_cast<std::uint32_t>(decision.retry_after.count());
  }
  Send(message.from, message_kind::kPermitResponse, response);
}

void team_limiter::OnResponse(const peer_message& message) {
  const auto response = Decode<permit_response>(message);
  if (!response)
    return;
  const auto timed_out_team = permit_query_.Deliver(*response);
  if (timed_out_team && response->verdict == permit_verdict::kGranted)
    Send(message.from, message_kind::kPermitReturn,
         permit_return{*timed_out_team});
}

void team_limiter::OnReturn(const peer_message& message) {
  if (const auto returned = Decode<permit_return>(message))
    ReturnLocally(returned->team, OwnRole(returned->team));
}

void team_limiter::OnLoanRequest(const peer_message& message) {
  const auto loan_request = Decode<permit_loan_request>(message);
  const auto manifest = state_.manifest();
  const auto* team =
      loan_request ? FindTeam(manifest.get(), loan_request->team) : nullptr;
  if (team == nullptr)
    return;
  permit_loan loan{.team = loan_request->team,
                   .region = settings_.place.region};
  const auto entries = state_.entries().Get();
  const auto owner = ChooseGrantors(loan_request->team, entries->names).owner;
  if (!owner)
    return;
  if (IsSelf(*entries, owner)) {
    const auto shares = Shares();
    loan.permits = teams_.With(loan_request->team, [&](auto& teams) {
      return teams[loan_request->team].permits.Lend(team->limit, shares,
                                                    clock_.now());
    });
  } else {
    loan.owner_address = entries->peer_addresses[*owner];
  }
  Send(message.from, message_kind::kPermitLoan, loan);
}

void team_limiter::OnLoan(const peer_message& message) {
  const auto loan = Decode<permit_loan>(message);
  const auto manifest = state_.manifest();
  const auto* team = loan ? FindTeam(manifest.get(), loan->team) : nullptr;
  if (team == nullptr || !std::isfinite(loan->permits) || loan->permits < 0)
    return;
  {
    std::lock_guard guard(lock_);
    owner_addresses_[{loan->team, loan->region}] =
        loan->owner_address.empty() ? message.from : loan->owner_address;
  }
  if (loan->permits == 0 || OwnRole(loan->team) != permit_role::kOwner)
    return;
  const auto shares = Shares();
  teams_.With(loan->team, [&](auto& teams) {
    teams[loan->team].permits.OnBorrowed(loan->permits, team->limit, shares,
                                         clock_.now());
  });
}

bool team_limiter::IsSelf(const entry_list& entries,
                          const std::optional<std::size_t>& index) const {
  return index && entries.names[*index] == settings_.place.instance;
}

permit_role team_limiter::OwnRole(const std::string& team) const {
  const auto entries = state_.entries().Get();
  const auto owner = ChooseGrantors(team, entries->names).owner;
  return IsSelf(*entries, owner) ? permit_role::kOwner : permit_role::kBackup;
}

const traffic_team* team_limiter::FindTeam(const traffic_manifest* manifest,
                                           const std::string& team) const {
  return manifest == nullptr ? nullptr : manifest->FindTeam(team);
}

permit_shares team_limiter::Shares() const {
  const auto entries = state_.entries().Get();
  const auto bounds = state_.bounds();
  return {.regions = bounds->regions,
          .region_entries = entries->names.size(),
          .region_peak = entries->region_peak,
          .fleet_peak = entries->fleet_peak,
          .reserve = kReserveOfSlack * bounds->limit_slack /
                     static_cast<double>(bounds->regions),
          .settled = entries->settled_fleet_size > 0,
          .unchanged_since = entries->unchanged_since};
}

template <typename Message>
void team_limiter::Send(const std::string& address,
                        message_kind kind,
                        const Message& message) {
  SendToPeer(transport_, metrics_, address, kind, message);
}

template <typename Message>
std::optional<Message> team_limiter::Decode(const peer_message& message) {
  return DecodeFromPeer<Message>(message, metrics_, "permits_malformed_total");
}

}  // namespace samphire
