#include "history/log_story.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace samphire {

namespace {

// What an entry believes of its surroundings is told by the last of each.
constexpr std::array<std::string_view, 6> kBeliefs = {
    "started",    "config-in-force", "targets-changed",
    "store-lost", "store-regained",  "leaving"};

std::optional<log_record> Parse(std::string_view line) {
  const auto start = line.find('{');
  if (start == std::string_view::npos)
    return std::nullopt;
  log_record record;
  record.text = std::string(line.substr(start));
  try {
    Poco::JSON::Parser parser;
    const auto json =
        parser.parse(record.text).extract<Poco::JSON::Object::Ptr>();
    record.time = json->optValue<std::string>("time", "");
    record.instance = json->optValue<std::string>("instance", "");
    record.event = json->optValue<std::string>("event", "");
    record.request = json->optValue<std::string>("request", "");
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
  return record;
}

}  // namespace

void log_story::Read(std::string_view line) {
  if (line.find_first_not_of(" \t\r\n") == std::string_view::npos)
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
