#include "limits/limit_run.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "routing/limit_permits.h"
#include "routing/permit_grantors.h"

namespace samphire {

namespace {

constexpr int kRegions = 3;
constexpr double kRequestsPerSecond = 2000;
// Ratio of a team's limit to its usual rate.
constexpr double kHeadroom = 1.6;
constexpr milliseconds kDuration{20'000};
constexpr milliseconds kHotFrom{6000};
constexpr milliseconds kHotUntil{13'000};
constexpr milliseconds kKillAt{9000};
constexpr milliseconds kInterRegionDelay{40};
// Window and tolerances of a limit, as declared by installations.
constexpr milliseconds kWindow{5000};
constexpr double kTolerance = 1.1;
constexpr double kSlack = 20;
constexpr double kReserve = 0.4 * kSlack / kRegions;

struct team_state {
  std::string name;
  rate_limit limit;
  double usual_rate = 0;
  bool hot = false;
  // Share of its requests that each region receives.
  std::vector<double> region_shares;
  std::optional<token_bucket> reference;
  std::deque<time_point> runs;
};

struct entry_state {
  std::string name;
  int region = 0;
  bool up = true;
  std::vector<limit_permits> permits;
};

// A loan in transit to the borrower.
struct pending_loan {
  time_point due;
  std::size_t entry = 0;
  std::size_t team = 0;
  double permits = 0;
};

class limit_run {
 public:
  limit_run(const limit_scenario& scenario,
            limit_mechanism mechanism,
            std::uint64_t seed)
      : scenario_(scenario), mechanism_(mechanism), random_(seed) {
    for (int i = 0; i < scenario.entries; ++i)
      AddEntry(i);
    for (int i = 0; i < scenario.teams; ++i)
      AddTeam(i);
    UpdateNames();
  }

  limit_report Run() {
    constexpr milliseconds kStep{1};
    for (; now_ < kStart + kDuration; now_ += kStep) {
      if (scenario_.kills_half && now_ == kStart + kKillAt)
        KillHalf();
      DeliverLoans();
      for (std::size_t i = 0; i < teams_.size(); ++i)
        GenerateRequests(i, kStep);
    }
    return report_;
  }

 private:
  static constexpr time_point kStart{std::chrono::hours(1)};

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  bool IsHotPeriod() const {
    return now_ >= kStart + kHotFrom && now_ < kStart + kHotUntil;
  }

  void AddEntry(int i) {
    entry_state entry;
    entry.name = "entry-" + std::to_string(i);
    entry.region = i % kRegions;
    entry.permits.resize(static_cast<std::size_t>(scenario_.teams));
    entries_.push_back(std::move(entry));
  }

  // Rates follow a Zipf distribution. Small teams have few callers, and thus
  // often requests in one region only.
  void AddTeam(int i) {
    double harmonic = 0;
    for (int rank = 1; rank <= scenario_.teams; ++rank)
      harmonic += 1.0 / rank;
    team_state team;
    team.name = "team-" + std::to_string(i);
    team.usual_rate = kRequestsPerSecond / harmonic / (i + 1);
    team.limit.rate = std::max(1.0, kHeadroom * team.usual_rate);
    team.limit.burst = team.limit.rate;
    team.hot = i < scenario_.hot_teams;
    const int callers = std::max(1, 120 / (i + 1));
    team.region_shares.assign(kRegions, 0);
    for (int caller = 0; caller < callers; ++caller)
      team.region_shares[random_() % kRegions] += 1.0 / callers;
    team.reference.emplace(team.limit.burst, kStart);
    teams_.push_back(std::move(team));
  }

  void UpdateNames() {
    names_.assign(kRegions, {});
    for (const auto& entry : entries_) {
      if (entry.up)
        names_[static_cast<std::size_t>(entry.region)].push_back(entry.name);
    }
    all_names_.clear();
    for (const auto& names : names_)
      all_names_.insert(all_names_.end(), names.begin(), names.end());
    changed_at_ = now_;
  }

  void KillHalf() {
    for (std::size_t i = 0; i < entries_.size(); i += 2)
      entries_[i].up = false;
    UpdateNames();
  }

  void GenerateRequests(std::size_t index, milliseconds step) {
    const auto& team = teams_[index];
    const double factor = team.hot && IsHotPeriod() ? scenario_.hot_factor : 1;
    const double mean =
        team.usual_rate * factor * std::chrono::duration<double>(step).count();
    const int arrivals = std::poisson_distribution<>(mean)(random_);
    for (int i = 0; i < arrivals; ++i)
      HandleRequest(index);
  }

  void HandleRequest(std::size_t index) {
    auto& team = teams_[index];
    ++report_.requests;
    team.reference->Refill(team.limit.rate, team.limit.burst, now_);
    const bool conforming = team.reference->TryTake();
    const bool granted = Take(index, EntryFor(team));
    if (team.hot) {
      report_.hot_conforming += conforming ? 1 : 0;
      report_.hot_granted += granted ? 1 : 0;
    } else if (conforming) {
      ++report_.conforming;
      report_.conforming_refused += granted ? 0 : 1;
    }
    if (granted)
      CountRun(team);
  }

  std::size_t EntryFor(const team_state& team) {
    double at = Uniform();
    std::size_t region = 0;
    while (region + 1 < team.region_shares.size() &&
           at >= team.region_shares[region])
      at -= team.region_shares[region++];
    while (true) {
      const auto index = random_() % entries_.size();
      const auto& entry = entries_[index];
      if (entry.up && entry.region == static_cast<int>(region))
        return index;
    }
  }

  bool Take(std::size_t team, std::size_t receiver) {
    const auto grantor = GrantorOf(team, receiver);
    if (grantor != receiver)
      report_.messages += 2;
    if (entries_[grantor].region != entries_[receiver].region)
      report_.inter_region_messages += 2;
    auto& permits = entries_[grantor].permits[team];
    const auto& limit = teams_[team].limit;
    const auto shares = Shares(grantor);
    const bool granted =
        permits.Take(permit_role::kOwner, limit, shares, now_).granted;
    if (mechanism_ == limit_mechanism::kLendingOwners &&
        permits.ShouldBorrow(limit, shares, now_))
      Borrow(team, grantor);
    return granted;
  }

  std::size_t GrantorOf(std::size_t team, std::size_t receiver) const {
    if (mechanism_ == limit_mechanism::kEqualShares)
      return receiver;
    const auto region = static_cast<std::size_t>(entries_[receiver].region);
    const auto& names = mechanism_ == limit_mechanism::kFleetOwner
                            ? all_names_
                            : names_[region];
    return OwnerAmong(team, names);
  }
  std::size_t OwnerAmong(std::size_t team,
                         const std::vector<std::string>& names) const {
    const auto owner = ChooseGrantors(teams_[team].name, names).owner;
    const auto found =
        std::ranges::find(entries_, names[*owner], &entry_state::name);
    return static_cast<std::size_t>(found - entries_.begin());
  }

  permit_shares Shares(std::size_t entry) const {
    permit_shares shares{.unchanged_since = changed_at_};
    switch (mechanism_) {
      case limit_mechanism::kEqualShares:
        shares.regions = entries_.size();
        break;
      case limit_mechanism::kFleetOwner:
        break;
      case limit_mechanism::kRegionOwners:
      case limit_mechanism::kLendingOwners: {
        const auto region = entries_[entry].region;
        shares.regions = kRegions;
        shares.reserve = kReserve;
        shares.region_entries = names_[static_cast<std::size_t>(region)].size();
        shares.region_peak = static_cast<std::size_t>(
            std::ranges::count(entries_, region, &entry_state::region));
        break;
      }
    }
    return shares;
  }

  void Borrow(std::size_t team, std::size_t borrower) {
    for (std::size_t region = 0; region < names_.size(); ++region) {
      if (static_cast<int>(region) == entries_[borrower].region)
        continue;
      const auto lender = OwnerAmong(team, names_[region]);
      const double lent = entries_[lender].permits[team].Lend(
          teams_[team].limit, Shares(lender), now_);
      loans_.push_back({now_ + kInterRegionDelay, borrower, team, lent});
      report_.messages += 2;
      report_.inter_region_messages += 2;
    }
  }

  void DeliverLoans() {
    while (!loans_.empty() && loans_.front().due <= now_) {
      const auto& loan = loans_.front();
      entries_[loan.entry].permits[loan.team].OnBorrowed(
          loan.permits, teams_[loan.team].limit, Shares(loan.entry), now_);
      loans_.pop_front();
    }
  }

  void CountRun(team_state& team) {
    team.runs.push_back(now_);
    while (team.runs.front() <= now_ - kWindow)
      team.runs.pop_front();
    const double seconds = std::chrono::duration<double>(kWindow).count();
    const double allowed =
        (team.limit.rate * seconds + team.limit.burst) * kTolerance + kSlack;
    report_.worst_window = std::max(
        report_.worst_window, static_cast<double>(team.runs.size()) / allowed);
  }

  const limit_scenario& scenario_;
  const limit_mechanism mechanism_;
  std::mt19937_64 random_;
  time_point now_ = kStart;
  time_point changed_at_ = kStart;
  std::vector<team_state> teams_;
  std::vector<entry_state> entries_;
  std::vector<std::vector<std::string>> names_;
  std::vector<std::string> all_names_;
  std::deque<pending_loan> loans_;
  limit_report report_;
};

}  // namespace

limit_report RunLimitScenario(const limit_scenario& scenario,
                              limit_mechanism mechanism,
                              std::uint64_t seed) {
  return limit_run(scenario, mechanism, seed).Run();
}

}  // namespace samphire
