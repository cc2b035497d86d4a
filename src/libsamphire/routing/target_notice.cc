#include "routing/target_notice.h"

#include <charconv>
#include <cmath>
#include <system_error>

namespace samphire {

std::optional<double> ParseRateLimit(const std::string& text) {
  double rate = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_to, failure] = std::from_chars(text.data(), end, rate);
  if (failure != std::errc() || parsed_to != end || !std::isfinite(rate) ||
      rate < 0)
    return std::nullopt;
  return rate;
}

}  // namespace samphire
