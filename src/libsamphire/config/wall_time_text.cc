#include "config/wall_time_text.h"

#include <Poco/DateTimeParser.h>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace samphire {

namespace {

constexpr std::size_t kLengthWithSeconds = 20;
constexpr std::size_t kLengthWithMilliseconds = 24;
constexpr const char* kSecondsFormat = "%Y-%m-%dT%H:%M:%SZ";
constexpr const char* kMillisecondsFormat = "%Y-%m-%dT%H:%M:%s";
// Nanoseconds in 64 bits cannot represent times after 2262, so only years of
// this century are accepted.
constexpr const char* kCenturyPrefix = "20";

}  // namespace

// POCO's parser skips unknown characters and accepts times without a zone, so a
// local time would be read as UTC and a drain would start hours off. Therefore
// only the canonical form is accepted: formatting the parsed time must yield
// the same text.
std::optional<wall_time> ParseWallTime(const std::string& text) {
  const bool has_milliseconds = text.size() == kLengthWithMilliseconds;
  if ((!has_milliseconds && text.size() != kLengthWithSeconds) ||
      !text.ends_with('Z') || !text.starts_with(kCenturyPrefix))
    return std::nullopt;
  Poco::DateTime parsed;
  int zone = 0;
  const auto* format = has_milliseconds ? kMillisecondsFormat : kSecondsFormat;
  if (!Poco::DateTimeParser::tryParse(format, text, parsed, zone))
    return std::nullopt;
  const wall_time time{microseconds(parsed.timestamp().epochMicroseconds())};
  const auto written = FormatWallTime(time);
  const bool same = written == text ||
                    written.substr(0, written.size() - 1) + ".000Z" == text;
  return same ? std::optional(time) : std::nullopt;
}

std::string FormatWallTime(wall_time time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const auto subsecond_ms =
      std::chrono::floor<milliseconds>(time - seconds).count();
  const auto whole =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)));
  return subsecond_ms == 0 ? whole + "Z"
                           : fmt::format("{}.{:03}Z", whole, subsecond_ms);
}

}  // namespace samphire
