#include "routing/lab_fleet.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numbers>
#include <utility>

#include "routing/key_owner.h"
#include "routing/target_rank.h"

namespace samphire {

namespace {

constexpr const char* kService = "s";
// As installations declare them.
const retry_bound kRetries{.ratio = 0.2,
                           .slack = 60,
                           .window = milliseconds{10'000}};
constexpr std::uint32_t kMaxAttempts = 3;
// After the last request, so that each has come to its end.
constexpr milliseconds kRunOut{10'000};

}  // namespace

lab_fleet::lab_fleet(const lab_scenario& scenario)
    : scenario_(scenario), random_(scenario.seed), start_(events_.now()) {
  service_.name = kService;
  AddPlaces();
  PublishTargets();
}

void lab_fleet::Run() {
  for (const auto& route : scenario_.routes) {
    for (const auto& [region, domains] : domains_)
      ScheduleCallers(route, region);
  }
  for (const auto& trouble : scenario_.troubles)
    ScheduleTrouble(trouble);
  events_.RunUntil(start_ + scenario_.length + kRunOut);
}

void lab_fleet::AddPlaces() {
  for (std::size_t r = 0; r < scenario_.targets.size(); ++r) {
    const std::string region = "region-" + std::to_string(r);
    for (std::size_t d = 0; d < scenario_.targets[r].size(); ++d) {
      const auto domain = region + "-" + std::to_string(d);
      domains_[region].push_back(domain);
      for (int i = 0; i < scenario_.entries_per_domain; ++i) {
        entry_place place{"entry-" + domain + "-" + std::to_string(i), domain,
                          region};
        entry_names_[region].push_back(place.instance);
        entries_.push_back(std::make_unique<entry>(
            entry{place, service_tracker(scenario_.without), {}}));
        region_entries_[region].push_back(entries_.back().get());
      }
      for (int i = 0; i < scenario_.targets[r][d]; ++i) {
        live_target target;
        target.id = "target-" + domain + "-" + std::to_string(i) + "-" +
                    std::to_string(scenario_.seed);
        target.service = kService;
        target.region = region;
        target.failure_domain = domain;
        target.slots = scenario_.slots;
        target.started_ms = 1;
        targets_[target.id] =
            std::make_unique<lab_target>(target, scenario_, events_, random_);
      }
    }
  }
}

void lab_fleet::PublishTargets() {
  std::vector<live_target> listed;
  listed.reserve(targets_.size());
  for (const auto& [id, target] : targets_)
    listed.push_back(target->description());
  known_ = target_set_ptr(new target_set(std::move(listed), {}));
}

void lab_fleet::ScheduleCallers(const lab_route& route,
                                const std::string& region) {
  std::exponential_distribution<double> gap(route.rate * RateFactor(region));
  const auto wait = std::chrono::duration<double>(gap(random_));
  events_.After(std::chrono::duration_cast<duration>(wait),
                [this, &route, region] {
                  if (events_.now() - start_ >= scenario_.length)
                    return;
                  Ask(route, region);
                  ScheduleCallers(route, region);
                });
}

double lab_fleet::RateFactor(const std::string& region) const {
  const auto place = std::distance(domains_.begin(), domains_.find(region));
  const double phase =
      static_cast<double>(place) / static_cast<double>(domains_.size());
  const std::chrono::duration<double> passed = events_.now() - start_;
  const std::chrono::duration<double> period = scenario_.wave_period;
  const double turn = passed / period + phase;
  return burst_ *
         (1 + scenario_.wave_swing * std::sin(2 * std::numbers::pi * turn));
}

void lab_fleet::ScheduleTrouble(const lab_trouble& trouble) {
  events_.At(start_ + trouble.at, [this, &trouble] { Begin(trouble); });
  events_.At(start_ + trouble.at + trouble.lasts,
             [this, &trouble] { Finish(trouble); });
}

// The same targets when it begins and when it ends.
std::vector<lab_target*> lab_fleet::Struck(const lab_trouble& trouble) {
  std::vector<lab_target*> struck;
  for (const auto& [id, target] : targets_)
    struck.push_back(target.get());
  std::mt19937_64 random(scenario_.seed);
  std::shuffle(struck.begin(), struck.end(), random);
  struck.resize(static_cast<std::size_t>(trouble.share *
                                         static_cast<double>(struck.size())));
  return struck;
}

void lab_fleet::Begin(const lab_trouble& trouble) {
  if (trouble.kind == lab_trouble_kind::kBurst) {
    burst_ = trouble.strength;
    return;
  }
  for (auto* target : Struck(trouble)) {
    if (trouble.kind == lab_trouble_kind::kSlowTargets)
      target->slowness = trouble.strength;
    else if (trouble.kind == lab_trouble_kind::kShedding)
      target->shed_share = trouble.strength;
    else if (trouble.kind == lab_trouble_kind::kFailing)
      target->fail_share = trouble.strength;
    else
      target->Crash();
    target->dark = trouble.kind == lab_trouble_kind::kDark;
  }
}

void lab_fleet::Finish(const lab_trouble& trouble) {
  if (trouble.kind == lab_trouble_kind::kBurst) {
    burst_ = 1;
    return;
  }
  for (auto* target : Struck(trouble)) {
    target->slowness = 1;
    target->shed_share = 0;
    target->fail_share = 0;
    target->dark = false;
    if (trouble.kind == lab_trouble_kind::kCrash ||
        trouble.kind == lab_trouble_kind::kDark)
      target->ComeBack(trouble.at.count());
  }
  PublishTargets();
}

void lab_fleet::Ask(const lab_route& route, const std::string& region) {
  const auto asked = std::make_shared<request>();
  asked->route = &route;
  asked->region = region;
  const auto& domains = domains_[region];
  asked->caller_domain = domains[random_() % domains.size()];
  const auto object = random_() % static_cast<std::uint64_t>(route.objects);
  asked->key_hash = KeyHash(route.name, region + std::to_string(object));
  asked->asked = events_.now();
  Count(*asked, [](lab_tally& tally) { ++tally.asked; });
  Enter(asked);
}

// Callers pick any entry of their region.
void lab_fleet::Enter(const request_ptr& asked) {
  const auto& near = region_entries_[asked->region];
  asked->at = near[random_() % near.size()];
  asked->tried.clear();
  asked->attempts = 0;
  asked->at->retries.OnRequest(events_.now());
  Attempt(asked);
}

placing_request lab_fleet::WishOf(const request& asked) const {
  const auto left = asked.asked + asked.route->deadline - events_.now();
  return {.route = asked.route->name,
          .key_hash = asked.key_hash,
          .body_bytes = asked.route->request_bytes,
          .objective = asked.route->objective,
          .time_left = std::chrono::floor<milliseconds>(left),
          .home_regions = {},
          .excluded = asked.tried};
}

void lab_fleet::Attempt(const request_ptr& asked) {
  ++asked->attempts;
  asked->placer = PlacerOf(*asked);
  const auto& place = asked->placer->place;
  if (asked->placer == asked->at)
    Place(asked);
  else
    events_.After(2 * HopTo(place.region, place.failure_domain, *asked->at),
                  [this, asked] { Place(asked); });
}

lab_fleet::entry* lab_fleet::PlacerOf(request& asked) {
  auto* at = asked.at;
  const auto wish = WishOf(asked);
  asked.for_region = false;
  if (scenario_.without.contains(placing_mechanism::kKeyOwner) ||
      at->tracker.KeepsInDomain(wish))
    return at;
  const auto& region = at->place.region;
  const auto index = KeyOwner(wish.key_hash, entry_names_[region]);
  if (!index)
    return at;
  auto* owner = region_entries_[region][*index];
  const bool elsewhere =
      owner->place.failure_domain != at->place.failure_domain;
  if (elsewhere && owner->tracker.KeepsInDomain(wish))
    return at;
  asked.for_region = true;
  return owner;
}

void lab_fleet::Place(const request_ptr& asked) {
  auto& placer = *asked->placer;
  auto wish = WishOf(*asked);
  wish.for_region = asked->for_region;
  const auto placed =
      placer.tracker.Place(wish, *known_, &service_, kService, placer.place,
                           entry_names_[placer.place.region], events_.now());
  if (const auto* refusal = std::get_if<placing_refusal>(&placed))
    OnRefused(asked, refusal->retry_after);
  else
    Send(asked, std::get<placed_attempt>(placed));
}

void lab_fleet::Send(const request_ptr& asked, const placed_attempt& placed) {
  const auto sent = events_.now();
  auto& target = *targets_.at(placed.target.id);
  const auto hop =
      HopTo(placed.target.region, placed.target.failure_domain, *asked->at);
  const auto item = std::make_shared<lab_target::work>();
  const auto over = std::make_shared<bool>(false);
  item->key_hash = asked->key_hash;
  item->cold_work = asked->route->cold_work;
  // The item holds this function, so it is not held by it.
  const auto& begun_cold = item->cold;
  item->on_end = [this, asked, placed, sent, hop, over,
                  &begun_cold](auto result) {
    events_.After(hop,
                  [this, asked, placed, sent, over, result, cold = begun_cold] {
                    if (!std::exchange(*over, true))
                      OnEnd(asked, placed, result, events_.now() - sent, cold);
                  });
  };
  events_.After(hop, [&target, item] {
    if (!item->cancelled)
      target.Submit(item);
  });
  events_.At(asked->asked + asked->route->deadline,
             [this, asked, placed, sent, over, item, &target] {
               if (std::exchange(*over, true))
                 return;
               target.Cancel(item);
               OnEnd(asked, placed, attempt_result::kTimedOut,
                     events_.now() - sent, item->cold);
             });
}

void lab_fleet::OnEnd(const request_ptr& asked,
                      const placed_attempt& placed,
                      attempt_result result,
                      duration took,
                      bool cold) {
  const auto& target = *targets_.at(placed.target.id);
  attempt_end told{.result = result, .took = took};
  const bool answered = result == attempt_result::kAnswered;
  if (answered)
    told.body_bytes = asked->route->request_bytes + asked->route->answer_bytes;
  if (answered || result == attempt_result::kTargetRefused)
    told.report = target.Report();
  asked->placer->tracker.Ended(WishOf(*asked), placed, told, &service_,
                               events_.now());
  if (answered) {
    OnAnswered(asked, placed.target, cold);
    return;
  }
  if (result == attempt_result::kTimedOut) {
    Fail(asked);
    return;
  }
  asked->tried.push_back(placed.target.id);
  const bool may_have_run =
      result == attempt_result::kTargetError || result == attempt_result::kLost;
  if (may_have_run && !asked->route->idempotent) {
    Fail(asked);
    return;
  }
  const bool may_repeat =
      result == attempt_result::kConnectFailed ||
      asked->at->retries.TryTake(kRetries, entries_.size(), events_.now());
  if (may_repeat && asked->attempts < kMaxAttempts)
    Attempt(asked);
  else if (result == attempt_result::kTargetRefused)
    OnRefused(asked, milliseconds{100});
  else
    Fail(asked);
}

// A caller comes back once, when it was told to, if it has the time.
void lab_fleet::OnRefused(const request_ptr& asked, milliseconds retry_after) {
  const auto back = events_.now() + retry_after;
  if (std::exchange(asked->came_back, true) ||
      back >= asked->asked + asked->route->deadline) {
    Count(*asked, [](lab_tally& tally) { ++tally.refused; });
    return;
  }
  events_.At(back, [this, asked] { Enter(asked); });
}

void lab_fleet::OnAnswered(const request_ptr& asked,
                           const live_target& target,
                           bool cold) {
  const auto& route = *asked->route;
  const bool in_time = events_.now() - asked->asked <= route.objective;
  Count(*asked, [in_time, cold](lab_tally& tally) {
    ++(in_time ? tally.in_time : tally.late);
    tally.late_cold += !in_time && cold ? 1 : 0;
  });
  const auto bytes = route.request_bytes + route.answer_bytes;
  const auto& place = asked->at->place;
  report_.bytes += bytes;
  if (target.region != place.region)
    report_.bytes_between_regions += bytes;
  else if (target.failure_domain != place.failure_domain)
    report_.bytes_between_domains += bytes;
}

void lab_fleet::Fail(const request_ptr& asked) {
  Count(*asked, [](lab_tally& tally) { ++tally.failed; });
}

template <typename F>
void lab_fleet::Count(const request& asked, F count) {
  const auto second =
      std::chrono::floor<std::chrono::seconds>(asked.asked - start_).count();
  count(report_.all);
  count(report_.by_route[asked.route->name]);
  count(report_.by_domain[asked.caller_domain]);
  count(report_.by_second[second]);
}

duration lab_fleet::HopTo(const std::string& region,
                          const std::string& domain,
                          const entry& from) const {
  constexpr duration kWithinDomain = std::chrono::microseconds(200);
  if (region != from.place.region)
    return scenario_.between_regions;
  return domain == from.place.failure_domain ? kWithinDomain
                                             : scenario_.between_domains;
}

}  // namespace samphire
