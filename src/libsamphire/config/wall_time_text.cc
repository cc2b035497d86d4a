#include "config/wall_time_text.h"

#include <Poco/DateTimeParser.h>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace samphire {

namespace {

constexpr std::size_t kLengthInSeconds = 20;
constexpr std::size_t kLengthInMilliseconds = 24;
constexpr const char* kSecondsFormat = "%Y-%m-%dT%H:%M:%SZ";
constexpr const char* kMillisecondsFormat = "%Y-%m-%dT%H:%M:%s";
// A time in nanoseconds ends in 2262, so only this century is read.
constexpr const char* kCentury = "20";

}  // namespace

// POCO's parser passes over what it doesn't know and takes times without a
// zone, so that a local time would be read as UTC and a drain start hours off.
// Only one spelling is taken: what was parsed must be written the same way.
std::optional<wall_time> ParseWallTime(const std::string& text) {
  const bool precise = text.size() == kLengthInMilliseconds;
  if ((!precise && text.size() != kLengthInSeconds) || !text.ends_with('Z') ||
      !text.starts_with(kCentury))
    return std::nullopt;
  Poco::DateTime parsed;
  int zone = 0;
  const auto* format = precise ? kMillisecondsFormat : kSecondsFormat;
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
  const auto rest = std::chrono::floor<milliseconds>(time - seconds).count();
  const auto whole =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)));
  return rest == 0 ? whole + "Z" : fmt::format("{}.{:03}Z", whole, rest);
}

}  // namespace samphire
