#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "routing/limit_permits.h"
#include "routing/permit_grantors.h"
#include "routing/retry_window.h"
#include "routing/service_tracker.h"
#include "routing/startup_allowance.h"
#include "support/membership_simulation.h"
#include "support/simulated_entry_list.h"
#include "support/sliding_count.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr int kRegions = 3;
constexpr milliseconds kTick{100};
constexpr milliseconds kSettleTime{5000};
// Requests and attempts at cold targets per entry and tick: far more than the
// shares allow.
constexpr int kRequests = 4;
constexpr int kColdAttempts = 6;

// Bounds as declared by installations.
const retry_bound kRetries{.ratio = 0.2, .slack = 60, .window = 10'000ms};
constexpr double kColdRate = 11;
constexpr double kMaxColdSends = kColdRate * 1.5 + 5;

// A team that always exceeds its limit, and the maximum number of its permits
// in a window.
const std::string kTeam = "team";
constexpr rate_limit kLimit{.rate = 100, .burst = 100};
constexpr milliseconds kLimitWindow{5000};
constexpr double kMaxPermits = (100 * 5 + 100) * 1.1 + 20;
constexpr double kReserve = 0.4 * 20 / kRegions;
constexpr int kTeamRequests = 45;
// The time that an entry takes to load its configuration after a start.
constexpr milliseconds kConfigLoadTime{1000};
constexpr milliseconds kStartupTime{2500};
// An installation has at least two failure domains per region.
constexpr std::size_t kFailureDomains = std::size_t{2} * kRegions;

std::string RegionName(int i) {
  return std::string(1, static_cast<char>('a' + i));
}

struct modelled_entry {
  entry_location place;
  bool up = false;
  bool paused = false;
  std::uint64_t incarnation = 0;
  std::unique_ptr<entry_list_builder> builder;
  service_tracker tracker;
  retry_window retries;
  time_point started;
  limit_permits permits;
  startup_allowance startup;
  std::vector<std::string> last_names;
  // Entries to borrow permits from, by region.
  std::map<std::string, std::string> contacts;
};

// Entries with real membership over a faulty network, all of which try to retry
// every request and to send as much as possible to cold targets.
class modelled_fleet {
 public:
  modelled_fleet(std::uint64_t seed, int entries_per_region)
      : entries_per_region_(entries_per_region), random_(seed), world_(seed) {
    for (int region = 0; region < kRegions; ++region) {
      for (int i = 0; i < entries_per_region; ++i) {
        modelled_entry one;
        one.place.region = RegionName(region);
        one.place.failure_domain = one.place.region + "-1";
        one.place.instance = one.place.region + "-" + std::to_string(i);
        entries_.push_back(std::move(one));
      }
      AddColdTarget(RegionName(region));
    }
    set_ = target_set_ptr(new target_set(targets_, {}));
    for (auto& each : entries_)
      Start(each);
    world_.network.is_blocked = [this](const auto& from, const auto& to) {
      return cut_off_ == from || cut_off_ == to;
    };
  }

  void Run(duration time) {
    const auto end = world_.network.now() + time;
    while (world_.network.now() < end) {
      if (random_() % 15 == 0)
        InjectFault();
      world_.Run(kTick);
      for (auto& each : entries_) {
        if (each.up && !each.paused)
          IssueRequests(each);
      }
      Check();
    }
  }
  bool took_retries() const { return took_retries_; }
  bool sent_cold() const { return sent_cold_; }
  bool took_permits() const { return took_permits_; }

 private:
  void AddColdTarget(const std::string& region) {
    live_target target;
    target.id = "cold-" + region;
    target.service = "s";
    target.region = region;
    target.failure_domain = region + "-1";
    target.slots = 64;
    target.cold_until = time_point::max();
    targets_.push_back(target);
    cold_sends_.emplace(target.id, sliding_count(1000ms));
  }

  void Start(modelled_entry& one) {
    const auto now = world_.network.now();
    const auto& name = one.place.instance;
    one.up = true;
    one.paused = false;
    world_.Start(name, one.place.region, "a-0", ++one.incarnation);
    world_.Core(name).AddSeeds({"b-0", "c-0"});
    one.builder =
        std::make_unique<entry_list_builder>(name, kSettleTime, kRegions, now);
    if (one.incarnation > 1)
      one.builder->FollowEarlierProcess(kRetries.window);
    one.tracker = service_tracker();
    one.retries = {};
    one.started = now;
    one.permits = {};
    one.startup = {};
    one.last_names.clear();
    one.contacts.clear();
  }

  void InjectFault() {
    auto& one = entries_[random_() % entries_.size()];
    switch (random_() % 8) {
      case 0:
      case 1:
        if (one.up)
          Crash(one);
        else
          Start(one);
        break;
      case 2:
        // Restarts all entries at the same time.
        for (auto& each : entries_) {
          Crash(each);
          Start(each);
        }
        break;
      case 3:
      case 4:
        if (one.up && !one.paused)
          world_.Pause(one.place.instance);
        else if (one.up)
          world_.Resume(one.place.instance);
        one.paused = one.up && !one.paused;
        break;
      case 5:
        world_.network.loss = static_cast<double>(random_() % 3) * 0.1;
        break;
      case 6:
        cut_off_ = one.place.instance;
        break;
      default:
        cut_off_.clear();
    }
  }
  void Crash(modelled_entry& one) {
    if (one.up)
      world_.Crash(one.place.instance);
    one.up = false;
  }

  void IssueRequests(modelled_entry& one) {
    const auto now = world_.network.now();
    const auto list = ListOf(one, now);
    for (int i = 0; i < kRequests; ++i) {
      requests_.Add(now);
      one.retries.OnRequest(now);
      if (one.retries.TryTake(kRetries, list->retries, now)) {
        retries_.Add(now);
        took_retries_ = true;
      }
    }
    for (int i = 0; i < kColdAttempts; ++i)
      SendCold(one, list->settled_region_members, now);
    if (now - one.started < kConfigLoadTime)
      return;
    const auto count =
        std::max<std::size_t>(1, kTeamRequests / entries_.size());
    for (int i = 0; i < kRequests; ++i)
      one.startup.TryTake("others", 1 - LimitShare());
    for (std::size_t i = 0; i < count; ++i) {
      const bool starting = now - one.started < kStartupTime;
      if (!starting || one.startup.TryTake(kTeam, LimitShare()))
        TakePermit(one, *list, now);
    }
  }
  // The other teams' limits are 1.6 times their usual rates.
  double LimitShare() const {
    const double ticks_per_second = 1000.0 / kTick.count();
    const double others = kRequests * ticks_per_second *
                          static_cast<double>(entries_.size()) * 1.6;
    return kLimit.rate / (kLimit.rate + others);
  }

  // Mirrors team_limiter::Take: the owner, the backup, then this entry alone.
  void TakePermit(modelled_entry& one, const entry_list& list, time_point now) {
    if (list.names.size() <= 1 && list.other_regions.empty()) {
      Grant(one, list, permit_role::kAlone, now);
      return;
    }
    const auto grantors = ChooseGrantors(kTeam, list.names);
    for (const auto& index : {grantors.owner, grantors.backup}) {
      auto* peer = index ? FindReachable(one, list.names[*index]) : nullptr;
      if (peer == nullptr)
        continue;
      const auto view = ListOf(*peer, now);
      Grant(*peer, *view, RoleOf(*peer, *view), now);
      return;
    }
    Grant(one, list, permit_role::kAlone, now);
  }
  modelled_entry* FindReachable(const modelled_entry& from,
                                const std::string& name) {
    const auto found = std::ranges::find_if(entries_, [&](const auto& each) {
      return each.place.instance == name;
    });
    if (found == entries_.end() || !found->up || found->paused ||
        now() - found->started < kConfigLoadTime)
      return nullptr;
    const bool cut = cut_off_ == name || cut_off_ == from.place.instance;
    return cut && name != from.place.instance ? nullptr : &*found;
  }
  static permit_role RoleOf(const modelled_entry& one, const entry_list& list) {
    const auto owner = ChooseGrantors(kTeam, list.names).owner;
    return owner && list.names[*owner] == one.place.instance
               ? permit_role::kOwner
               : permit_role::kBackup;
  }
  void Grant(modelled_entry& one,
             const entry_list& list,
             permit_role role,
             time_point now) {
    if (one.last_names != list.names &&
        RoleOf(one, list) != permit_role::kOwner)
      one.permits.LoseOwnership();
    one.last_names = list.names;
    const auto shares = SharesOf(list);
    if (one.permits.Take(role, kLimit, shares, now).granted) {
      permits_.Add(now);
      took_permits_ = true;
    }
    if (role == permit_role::kOwner &&
        one.permits.ShouldBorrow(kLimit, shares, now))
      Borrow(one, shares, now);
  }
  // Sends a request to one entry of each other region, whose response names the
  // owner to use next time.
  void Borrow(modelled_entry& one,
              const permit_shares& shares,
              time_point now) {
    for (int i = 0; i < kRegions; ++i) {
      const auto region = RegionName(i);
      if (region == one.place.region)
        continue;
      auto& contact = one.contacts[region];
      if (contact.empty())
        contact = region + "-" +
                  std::to_string(random_() %
                                 static_cast<unsigned>(entries_per_region_));
      auto* peer = FindReachable(one, std::exchange(contact, ""));
      if (peer == nullptr)
        continue;
      const auto view = ListOf(*peer, now);
      const auto owner = ChooseGrantors(kTeam, view->names).owner;
      contact = owner ? view->names[*owner] : "";
      if (contact != peer->place.instance)
        continue;
      const auto lent = peer->permits.Lend(kLimit, SharesOf(*view), now);
      one.permits.OnBorrowed(lent, kLimit, shares, now);
    }
  }
  static permit_shares SharesOf(const entry_list& list) {
    return {.regions = kRegions,
            .region_entries = list.names.size(),
            .region_peak = list.region_peak,
            .fleet_peak = std::max(kFailureDomains, list.fleet_peak),
            .reserve = kReserve,
            .settled = list.settled_fleet_size > 0,
            .unchanged_since = list.unchanged_since};
  }
  time_point now() const { return world_.network.now(); }
  boost::intrusive_ptr<const entry_list> ListOf(modelled_entry& one,
                                                time_point now) {
    return BuildEntryList(world_.Core(one.place.instance), *one.builder, now);
  }
  void SendCold(modelled_entry& one,
                const std::vector<std::string>& known,
                time_point now) {
    const traffic_service service{
        .name = "s", .warm_up = 3000ms, .cold_rate = kColdRate};
    placement_criteria criteria;
    criteria.route = "r";
    criteria.key_hash = random_();
    criteria.objective = 500ms;
    criteria.time_left = 2000ms;
    const auto placed = one.tracker.Place(criteria, *set_, &service, "s",
                                          one.place, known, now);
    const auto* attempt = std::get_if<placed_attempt>(&placed);
    if (attempt == nullptr)
      return;
    cold_sends_.at(attempt->target.id).Add(now);
    sent_cold_ = true;
    one.tracker.Ended(
        criteria, *attempt,
        {.result = attempt_result::kAnswered, .took = 100ms, .report = {}},
        &service, now);
  }

  void Check() {
    const auto now = world_.network.now();
    const double limit =
        kRetries.ratio * requests_.RecentMax(now) + kRetries.slack;
    REQUIRE(retries_.Count(now) <= limit);
    REQUIRE(permits_.Count(now) <= kMaxPermits);
    for (const auto& [target, sends] : cold_sends_) {
      INFO(target);
      REQUIRE(sends.Count(now) <= kMaxColdSends);
    }
  }

  const int entries_per_region_;
  std::mt19937_64 random_;
  membership_simulation world_;
  std::vector<modelled_entry> entries_;
  std::vector<live_target> targets_;
  target_set_ptr set_;
  std::string cut_off_;
  sliding_count requests_{kRetries.window};
  sliding_count retries_{kRetries.window};
  sliding_count permits_{kLimitWindow};
  std::map<std::string, sliding_count> cold_sends_;
  bool took_retries_ = false;
  bool sent_cold_ = false;
  bool took_permits_ = false;
};

}  // namespace

// Guards against shares that add up to more than the bounds on retries, team
// permits and load on cold targets, which hold for all entries together
// although entries can't coordinate for every request. Entries crash one by one
// and all at once, pause, are cut off and lose messages, so that each has its
// own view of the others. Shares that don't add up would crash targets that
// have just started, or let retries overload the targets that still work.
TEST_CASE("bounds shared by all entries hold with any view of membership") {
  const int entries_per_region = GENERATE(2, 4, 10);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO(entries_per_region << " entries a region, seed " << seed);
    modelled_fleet fleet(seed, entries_per_region);
    fleet.Run(60s);
    CHECK(fleet.took_retries());
    CHECK(fleet.sent_cold());
    CHECK(fleet.took_permits());
  }
}
