#include "membership/prober.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// Bounds the pending probes on behalf of other members. It is several times
// what a region of a few hundred members causes even when a failure domain is
// lost.
constexpr std::size_t kMaxRelays = 256;
// Bounds the unresponsive members that are probed again at every interval. When
// a failure domain is lost, more would multiply the messages of this entry.
constexpr std::size_t kMaxReprobes = 3;
// The retry with which helpers are asked: most members that miss a message
// answer the first.
constexpr int kRetryWithHelp = 2;
// While more members than these are in doubt, helpers are not asked: they are
// probably gone as well, and the messages would multiply.
constexpr std::size_t kMaxDoubtfulForHelp = 4;

milliseconds RandomPart(milliseconds interval, std::mt19937_64& random) {
  std::uniform_int_distribution<std::int64_t> pick(0, interval.count());
  return milliseconds(pick(random));
}

}  // namespace

// The first probe is at a random time within the first interval, since entries
// that are started together would otherwise probe in step for as long as they
// run.
prober::prober(const membership_options& options,
               time_point now,
               std::mt19937_64& random)
    : options_(options),
      random_(random),
      next_probe_(now + RandomPart(options.probe_interval, random)),
      watch_(options, now + RandomPart(options.watch_interval, random)) {}

std::vector<prober::probe_action> prober::Tick(const membership_table& table,
                                               time_point now) {
  std::vector<probe_action> actions;
  ExamineProbes(table, now, actions);
  std::erase_if(relays_, [now](const auto& entry) {
    return now >= entry.second.expires_at;
  });
  for (const auto& name : watch_.Tick(table, DoubtfulMembers(), now)) {
    if (!IsProbing(name))
      Probe(name, action_kind::kPing, now, actions);
  }
  if (now >= next_probe_) {
    ReprobeUnresponsive(table, now, actions);
    StartProbe(table, now, actions);
    next_probe_ = std::max(next_probe_ + options_.probe_interval, now);
  }
  return actions;
}

void prober::ExamineProbes(const membership_table& table,
                           time_point now,
                           std::vector<probe_action>& actions) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    auto& [id, probe] = *it;
    if (now >= probe.expires_at) {
      actions.push_back({action_kind::kSuspect, id, probe.subject, {}});
      if (unresponsive_.size() < kMaxReprobes)
        unresponsive_.insert(probe.subject);
      it = probes_.erase(it);
      continue;
    }
    if (now >= probe.retry_at)
      Retry(table, id, probe, now, actions);
    ++it;
  }
}

// A lost message must not make a member suspected. The first retry is a probe,
// since members of an earlier version don't answer pings. Helpers are asked
// with the second one, as most that miss a message answer the first.
void prober::Retry(const membership_table& table,
                   std::uint64_t id,
                   pending_probe& probe,
                   time_point now,
                   std::vector<probe_action>& actions) {
  ++probe.retries;
  probe.retry_at = now + options_.direct_probe_timeout;
  const auto kind =
      probe.retries == 1 ? action_kind::kProbe : action_kind::kPing;
  actions.push_back({kind, id, probe.subject, {}});
  if (probe.retries == kRetryWithHelp &&
      DoubtfulMembers().size() <= kMaxDoubtfulForHelp)
    RequestIndirectProbes(table, id, probe.subject, actions);
}

std::set<std::string> prober::DoubtfulMembers() const {
  std::set<std::string> names;
  for (const auto& [id, probe] : probes_) {
    if (probe.retries > 0)
      names.insert(probe.subject);
  }
  return names;
}

bool prober::IsProbing(const std::string& name) const {
  return std::ranges::any_of(probes_, [&name](const auto& entry) {
    return entry.second.subject == name;
  });
}

void prober::StartProbe(const membership_table& table,
                        time_point now,
                        std::vector<probe_action>& actions) {
  const auto subject = NextSubject(table);
  if (subject)
    Probe(*subject, action_kind::kProbeWithGossip, now, actions);
}

// A suspected member has a few seconds for a refutation, and first has to learn
// of the suspicion. Under packet loss one message may not suffice: without
// these probes a serving member would be declared dead because the update on
// its suspicion was lost.
void prober::ReprobeUnresponsive(const membership_table& table,
                                 time_point now,
                                 std::vector<probe_action>& actions) {
  std::erase_if(unresponsive_, [&table](const std::string& name) {
    const auto* known = table.Find(name);
    return known == nullptr || known->state != member_state::kSuspect;
  });
  for (const auto& name : unresponsive_)
    Probe(name, action_kind::kProbe, now, actions);
}

void prober::Probe(const std::string& subject,
                   action_kind kind,
                   time_point now,
                   std::vector<probe_action>& actions) {
  const auto id = ++last_id_;
  probes_[id] = {subject, now + options_.direct_probe_timeout,
                 now + options_.probe_timeout, 0};
  actions.push_back({kind, id, subject, {}});
}

// A single link can fail while the member serves all others. Several members on
// other paths must fail to reach it, too, before it is even suspected.
void prober::RequestIndirectProbes(const membership_table& table,
                                   std::uint64_t id,
                                   const std::string& subject,
                                   std::vector<probe_action>& actions) {
  auto helpers = table.AliveMembers();
  std::erase(helpers, subject);
  std::erase(helpers, table.self().name);
  std::ranges::shuffle(helpers, random_);
  helpers.resize(std::min(helpers.size(), options_.indirect_probes));
  for (auto& helper : helpers) {
    actions.push_back(
        {action_kind::kRequestIndirectProbe, id, subject, std::move(helper)});
  }
}

// Every member is probed once in each round, in a new random order. That bounds
// the time until a failure is detected, which independent random choices would
// not, and no fixed order lets two failures mask each other.
std::optional<std::string> prober::NextSubject(const membership_table& table) {
  for (int refills = 0; refills < 2;) {
    if (probe_round_.empty()) {
      ++refills;
      probe_round_ = table.ProbedMembers();
      std::ranges::shuffle(probe_round_, random_);
      if (probe_round_.empty())
        return std::nullopt;
    }
    auto name = std::move(probe_round_.back());
    probe_round_.pop_back();
    const auto* known = table.Find(name);
    if (known != nullptr && known->state != member_state::kDead)
      return name;
  }
  return std::nullopt;
}

std::optional<prober::relay> prober::OnAck(std::uint64_t id) {
  const auto probe = probes_.find(id);
  if (probe != probes_.end()) {
    watch_.OnHeard(probe->second.subject);
    probes_.erase(probe);
  }
  const auto found = relays_.find(id);
  if (found == relays_.end())
    return std::nullopt;
  auto requester = std::move(found->second.requester);
  relays_.erase(found);
  return requester;
}

void prober::OnHeard(const std::string& name) {
  watch_.OnHeard(name);
  std::erase_if(probes_, [&name](const auto& entry) {
    return entry.second.subject == name;
  });
}

std::uint64_t prober::AddRelay(relay requester, time_point now) {
  if (relays_.size() >= kMaxRelays)
    relays_.erase(relays_.begin());
  const auto id = ++last_id_;
  relays_[id] = {std::move(requester), now + options_.probe_timeout};
  return id;
}

void prober::Reset(time_point now) {
  probes_.clear();
  relays_.clear();
  unresponsive_.clear();
  next_probe_ = now;
  watch_.Reset(now);
}

}  // namespace samphire
