#include "traffic/following/listing_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>

#include "base/log.h"

namespace samphire {

namespace {

using listing_map = std::map<std::string, const listed_entry*>;

listing_map ByName(const std::vector<listed_entry>& listed) {
  listing_map by_name;
  for (const auto& each : listed)
    by_name[each.name] = &each;
  return by_name;
}

std::int64_t HeardMs(time_point heard_at, time_point now) {
  return std::chrono::duration_cast<milliseconds>(now - heard_at).count();
}

std::string Labels(member_state state, listing_reason reason) {
  return fmt::format(R"(state="{}",reason="{}")",
                     NameOf(kMemberStateNames, state),
                     NameOf(kListingReasonNames, reason));
}

void LogNamed(const listed_entry& each, time_point now, metrics& registry) {
  registry.Count("lookup_entries_named_total", Labels(each.state, each.reason));
  Log(log_level::kInfo, "lookup-names",
      {{"entry", each.name},
       {"incarnation", each.incarnation},
       {"state", NameOf(kMemberStateNames, each.state)},
       {"reason", NameOf(kListingReasonNames, each.reason)},
       {"heard_ms", HeardMs(each.heard_at, now)}});
}

// The state of an entry that is no longer a member at all is told as dead.
void LogOmitted(const listed_entry& last,
                const std::vector<member>& members,
                time_point now,
                metrics& registry) {
  const auto known = std::ranges::find(members, last.name, &member::name);
  const auto state =
      known == members.end() ? member_state::kDead : known->state;
  const auto heard_at =
      known == members.end() ? last.heard_at : known->heard_at;
  registry.Count(
      "lookup_entries_omitted_total",
      fmt::format(R"(state="{}")", NameOf(kMemberStateNames, state)));
  Log(log_level::kInfo, "lookup-omits",
      {{"entry", last.name},
       {"incarnation", last.incarnation},
       {"state", NameOf(kMemberStateNames, state)},
       {"heard_ms", HeardMs(heard_at, now)}});
}

bool IsSame(const listed_entry& left, const listed_entry& right) {
  return left.incarnation == right.incarnation && left.state == right.state &&
         left.reason == right.reason;
}

}  // namespace

void LogListingChanges(const std::vector<listed_entry>& before,
                       const std::vector<listed_entry>& after,
                       const std::vector<member>& members,
                       time_point now,
                       metrics& registry) {
  const auto earlier = ByName(before);
  const auto later = ByName(after);
  for (const auto& [name, each] : later) {
    const auto found = earlier.find(name);
    if (found == earlier.end() || !IsSame(*found->second, *each))
      LogNamed(*each, now, registry);
  }
  for (const auto& [name, each] : earlier) {
    if (!later.contains(name))
      LogOmitted(*each, members, now, registry);
  }
}

void SetListingMetrics(const std::vector<listed_entry>& listed,
                       time_point now,
                       metrics& registry) {
  std::map<std::string, int> counts;
  for (const auto& [state, state_name] : kMemberStateNames) {
    for (const auto& [reason, reason_name] : kListingReasonNames)
      counts[Labels(state, reason)] = 0;
  }
  duration longest{0};
  for (const auto& each : listed) {
    ++counts[Labels(each.state, each.reason)];
    if (each.reason != listing_reason::kSelf)
      longest = std::max(longest, now - each.heard_at);
  }
  for (const auto& [labels, count] : counts)
    registry.Set("lookup_entries", labels, count);
  registry.Set("lookup_longest_unheard_seconds", {},
               std::chrono::duration<double>(longest).count());
}

}  // namespace samphire
