#ifndef CONFIG_WALL_TIME_TEXT_H_
#define CONFIG_WALL_TIME_TEXT_H_

#include <optional>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// Times of day as people write them: 2026-12-02T08:30:00Z, or with
// milliseconds; always UTC.
std::optional<wall_time> ParseWallTime(const std::string& text);
std::string FormatWallTime(wall_time time);

}  // namespace samphire

#endif  // CONFIG_WALL_TIME_TEXT_H_
