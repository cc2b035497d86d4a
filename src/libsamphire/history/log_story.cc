#include "history/log_story.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "history/log_line.h"

namespace samphire {

namespace {

// What an entry believes of its surroundings is told by the last of each.
constexpr std::array<std::string_view, 6> kBeliefs = {
    "started",    "config-in-force", "targets-changed",
    "store-lost", "store-regained",  "leaving"};

std::optional<log_record> Parse(std::string_view line) {
  log_record record;
  record.text = LogLineText(line);
  const auto json = ParseLogLine(record.text);
  if (!json)
    return std::nullopt;
  record.time = json->optValue<std::string>("time", "");
  record.instance = json->optValue<std::string>("instance", "");
  record.event = json->optValue<std::string>("event", "");
  record.request = json->optValue<std::string>("request", "");
  return record;
}

}  // namespace

void log_story::Read(std::string_view line) {
  if (IsBlank(line))
    return;
  auto record = Parse(line);
  if (!record) {
    ++unreadable_;
    return;
  }
  auto& known = beliefs_[record->instance];
  if (record->request == request_ && !request_.empty()) {
    // The first line of the request at this entry: what it knew by then.
    for (auto& [event, belief] : known)
      context_.push_back(std::move(belief));
    known.clear();
    of_request_.push_back(std::move(*record));
  } else if (std::find(kBeliefs.begin(), kBeliefs.end(), record->event) !=
             kBeliefs.end()) {
    known[record->event] = std::move(*record);
  }
}

std::vector<log_record> log_story::Lines() const {
  auto lines = context_;
  lines.insert(lines.end(), of_request_.begin(), of_request_.end());
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const auto& a, const auto& b) { return a.time < b.time; });
  return lines;
}

}  // namespace samphire
