#include "routing/target_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>

namespace samphire {

namespace {

// Upper bound on a pause, in seconds. A longer one is more likely a mistake
// than a target that returns.
constexpr double kMaxPauseSeconds = 3600;

// Returns nothing if `text` is not a finite decimal number of at least 0.
std::optional<double> ParseDecimal(const std::string& text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_to, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || parsed_to != end || !std::isfinite(number) ||
      number < 0)
    return std::nullopt;
  return number;
}

}  // namespace

std::optional<double> ParseRateLimit(const std::string& text) {
  return ParseDecimal(text);
}

std::optional<milliseconds> ParsePause(const std::string& text) {
  const auto seconds = ParseDecimal(text);
  if (!seconds)
    return std::nullopt;
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(std::min(*seconds, kMaxPauseSeconds)));
}

}  // namespace samphire
