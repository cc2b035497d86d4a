#include "membership/prober.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// Probes on behalf of others that are remembered: several times what a region
// of a few hundred members causes even when a failure domain is lost.
constexpr std::size_t kMaxRelays = 256;
// Silent members that are probed again at every interval. When a failure
// domain is lost, more would multiply this entry's messages.
constexpr std::size_t kMaxRechecks = 3;

}  // namespace

// The start within the first interval is random, since entries that are
// started together would otherwise probe in step for as long as they live.
prober::prober(const membership_options& options,
               time_point now,
               std::mt19937_64& random)
    : options_(options), random_(random) {
  std::uniform_int_distribution<std::int64_t> pick(
      0, options_.probe_interval.count());
  next_probe_ = now + milliseconds(pick(random_));
}

std::vector<prober::order> prober::Tick(const membership_table& table,
                                        time_point now) {
  std::vector<order> orders;
  for (auto it = probes_.begin(); it != probes_.end();) {
    auto& [id, probe] = *it;
    if (now >= probe.give_up_at) {
      orders.push_back({action::kSuspect, id, probe.subject, {}});
      if (silent_.size() < kMaxRechecks)
        silent_.insert(probe.subject);
      it = probes_.erase(it);
      continue;
    }
    if (!probe.asked && now >= probe.ask_at)
      AskHelpers(table, id, probe, orders);
    ++it;
  }
  std::erase_if(relays_, [now](const auto& entry) {
    return now >= entry.second.give_up_at;
  });
  if (now >= next_probe_) {
    Recheck(table, now, orders);
    StartProbe(table, now, orders);
    next_probe_ = std::max(next_probe_ + options_.probe_interval, now);
  }
  return orders;
}

void prober::StartProbe(const membership_table& table,
                        time_point now,
                        std::vector<order>& orders) {
  const auto subject = NextSubject(table);
  if (subject)
    Probe(*subject, now, orders);
}

// A suspect has a few seconds to contradict, and first has to hear of it.
// Under loss one message may not do; without these a member that serves would
// be declared dead because the news of its suspicion was lost.
void prober::Recheck(const membership_table& table,
                     time_point now,
                     std::vector<order>& orders) {
  std::erase_if(silent_, [&table](const std::string& name) {
    const auto* known = table.Find(name);
    return known == nullptr || known->state != member_state::kSuspect;
  });
  for (const auto& name : silent_)
    Probe(name, now, orders);
}

void prober::Probe(const std::string& subject,
                   time_point now,
                   std::vector<order>& orders) {
  const auto id = ++last_id_;
  probes_[id] = {subject, now + options_.direct_timeout,
                 now + options_.probe_interval, false};
  orders.push_back({action::kProbe, id, subject, {}});
}

// One link can fail while the member serves all others. Several members on
// other paths must fail to reach it too before it is even suspected.
void prober::AskHelpers(const membership_table& table,
                        std::uint64_t id,
                        pending_probe& probe,
                        std::vector<order>& orders) {
  probe.asked = true;
  auto helpers = table.Working();
  std::erase(helpers, probe.subject);
  std::erase(helpers, table.self().name);
  std::ranges::shuffle(helpers, random_);
  helpers.resize(std::min(helpers.size(), options_.indirect_probes));
  for (auto& helper : helpers) {
    orders.push_back(
        {action::kAskHelper, id, probe.subject, std::move(helper)});
  }
}

// Every member is probed once in each round, in a new random order: that
// bounds the time until a dead one is noticed, which picking at random would
// not, and leaves no order in which two failures hide each other.
std::optional<std::string> prober::NextSubject(const membership_table& table) {
  for (int refills = 0; refills < 2;) {
    if (round_.empty()) {
      ++refills;
      round_ = table.Probed();
      std::ranges::shuffle(round_, random_);
      if (round_.empty())
        return std::nullopt;
    }
    auto name = std::move(round_.back());
    round_.pop_back();
    const auto* known = table.Find(name);
    if (known != nullptr && known->state != member_state::kDead)
      return name;
  }
  return std::nullopt;
}

std::optional<prober::relay> prober::OnAck(std::uint64_t id) {
  probes_.erase(id);
  const auto found = relays_.find(id);
  if (found == relays_.end())
    return std::nullopt;
  auto asked = std::move(found->second.asked);
  relays_.erase(found);
  return asked;
}

std::uint64_t prober::AddRelay(relay asked, time_point now) {
  if (relays_.size() >= kMaxRelays)
    relays_.erase(relays_.begin());
  const auto id = ++last_id_;
  relays_[id] = {std::move(asked), now + options_.probe_interval};
  return id;
}

void prober::Reset(time_point now) {
  probes_.clear();
  relays_.clear();
  silent_.clear();
  next_probe_ = now;
}

}  // namespace samphire
