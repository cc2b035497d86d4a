#include "history/request_trace.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "history/log_line.h"

namespace samphire {

namespace {

// Log events about the state of the entry itself. The last one of each type
// shows what the entry knows about its environment.
constexpr std::array<std::string_view, 6> kStateEvents = {
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

void request_trace::Read(std::string_view line) {
  if (IsBlank(line))
    return;
  auto record = Parse(line);
  if (!record) {
    ++unreadable_;
    return;
  }
  auto& known = last_state_[record->instance];
  if (record->request == request_ && !request_.empty()) {
    // At the first line of the request at this entry, its state up to then
    // becomes part of the trace.
    for (auto& [event, state] : known)
      context_.push_back(std::move(state));
    known.clear();
    request_lines_.push_back(std::move(*record));
  } else if (std::find(kStateEvents.begin(), kStateEvents.end(),
                       record->event) != kStateEvents.end()) {
    known[record->event] = std::move(*record);
  }
}

std::vector<log_record> request_trace::Lines() const {
  auto lines = context_;
  lines.insert(lines.end(), request_lines_.begin(), request_lines_.end());
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const auto& a, const auto& b) { return a.time < b.time; });
  return lines;
}

}  // namespace samphire
