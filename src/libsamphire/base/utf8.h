#ifndef BASE_UTF8_H_
#define BASE_UTF8_H_

#include <cstddef>
#include <string_view>

namespace samphire {

// The bytes of the character that the text begins with; 0 if it is none.
std::size_t Utf8Length(std::string_view text);

}  // namespace samphire

#endif  // BASE_UTF8_H_
