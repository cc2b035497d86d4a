#include "history/history_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

#include "history/history_codec.h"

namespace samphire {

result<std::vector<history_event>> ReadHistory(std::istream& stream) {
  std::vector<history_event> events;
  std::string line;
  int number = 0;
  while (std::getline(stream, line)) {
    ++number;
    const bool unfinished = stream.eof();
    auto event = DecodeEvent(line);
    if (event) {
      events.push_back(std::move(event.value()));
    } else if (!unfinished) {
      auto read_error = event.error();
      read_error.detail = fmt::format("line {}: {}", number, read_error.detail);
      return read_error;
    }
  }
  return events;
}

result<std::vector<history_event>> ReadHistories(
    const std::vector<std::string>& paths) {
  std::vector<history_event> all;
  for (const auto& path : paths) {
    std::ifstream file(path);
    if (!file)
      return MakeError(result_code::kFileUnreadable, path);
    auto events = ReadHistory(file);
    if (!events) {
      auto read_error = events.error();
      read_error.detail = path + ": " + read_error.detail;
      return read_error;
    }
    std::move(events.value().begin(), events.value().end(),
              std::back_inserter(all));
  }
  std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return TimeOf(a) < TimeOf(b);
  });
  return all;
}

}  // namespace samphire
