#ifndef CONFIG_WALL_TIME_TEXT_H_
#define CONFIG_WALL_TIME_TEXT_H_

#include <optional>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// Parses a UTC time of this century such as 2026-12-02T08:30:00Z, optionally
// with three digits of milliseconds. Returns nothing for any other text.
std::optional<wall_time> ParseWallTime(const std::string& text);
// Returns a time in the same form, truncated to milliseconds, which are omitted
// if they are 0.
std::string FormatWallTime(wall_time time);

}  // namespace samphire

#endif  // CONFIG_WALL_TIME_TEXT_H_
