#ifndef BASE_DECIMAL_TEXT_H_
#define BASE_DECIMAL_TEXT_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace samphire {

// Returns the number that the text writes in decimal digits, or nothing if the
// text has anything else in it, is empty, or the number exceeds 64 bits. Unlike
// the library's parsers it takes no sign, space or thousands separator, which
// others read in another way.
std::optional<std::uint64_t> ParseDecimal(std::string_view text);

}  // namespace samphire

#endif  // BASE_DECIMAL_TEXT_H_
