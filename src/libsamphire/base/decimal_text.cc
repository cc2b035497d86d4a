#include "base/decimal_text.h"

#include <charconv>
#include <system_error>

namespace samphire {

std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  std::uint64_t number = 0;
  const auto* const end = text.data() + text.size();
  const auto [stopped, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || stopped != end)
    return std::nullopt;
  return number;
}

}  // namespace samphire
