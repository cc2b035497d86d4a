#include "soak/request_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "platform_adapter/wire_text.h"

namespace samphire {

void request_record::OnSent(const std::string& service,
                            const std::string& id,
                            time_point time) {
  std::lock_guard guard(lock_);
  sent_[service].emplace(id, time);
}

void request_record::OnBroken(broken_request request) {
  std::lock_guard guard(lock_);
  broken_.push_back(std::move(request));
}

void request_record::OnClaimEnded(ended_claim claim) {
  std::lock_guard guard(lock_);
  claims_.push_back(std::move(claim));
}

std::vector<soak_finding> request_record::OnceAtMostViolations(
    const target_list& targets) const {
  std::map<std::string, int> runs;
  for (const auto* target : targets) {
    for (const auto& [id, count] : target->runs_by_id())
      runs[id] += count;
  }
  std::vector<soak_finding> findings;
  std::lock_guard guard(lock_);
  for (const auto& each : claims_) {
    const auto found = runs.find(each.id);
    const int count = found == runs.end() ? 0 : found->second;
    if (count > 1)
      findings.push_back(
          {"once at most", fmt::format("{} ran {} times", each.id, count)});
    if (each.status == 200 && count != 1)
      findings.push_back({"a success means that it ran", each.id});
    if (platform::GuaranteesNotRun(each.status) && count > 0)
      findings.push_back(
          {"not run is true", fmt::format("{} {}", each.status, each.id)});
  }
  return findings;
}

// When a process ends after SIGTERM, the connections that no thread has
// accepted yet are reset. Their requests were not read, which the reset tells
// callers. A request that the entry's log names was read, and must receive a
// response.
std::vector<soak_finding> request_record::UnansweredRequests(
    const std::vector<std::string>& log_lines) const {
  std::vector<soak_finding> findings;
  std::lock_guard guard(lock_);
  for (const auto& each : broken_) {
    const bool read = std::ranges::any_of(log_lines, [&](const auto& line) {
      return line.find(each.id) != std::string::npos;
    });
    if (read || !each.stopping)
      findings.push_back({"a response to every request that was read",
                          fmt::format("{} after {} ms at {}", each.id,
                                      each.elapsed.count(), each.entry)});
  }
  return findings;
}

std::optional<std::string> request_record::ExcessOfRepeats(
    const std::string& service,
    const target_list& targets,
    const retry_bound& bound) const {
  service_arrivals seen;
  for (const auto* target : targets)
    seen.arrivals.merge(target->arrivals_by_id());
  std::lock_guard guard(lock_);
  const auto found = sent_.find(service);
  if (found != sent_.end())
    seen.requests = found->second;
  return FindExcessOfRepeats(seen, bound);
}

}  // namespace samphire
