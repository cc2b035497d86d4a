#ifndef BASE_UTF8_H_
#define BASE_UTF8_H_

#include <cstddef>
#include <string_view>

namespace samphire {

// Returns the number of bytes, 1 to 4, of the UTF-8 sequence at the start of
// `text`, or 0 if `text` is empty or does not start with a valid one.
std::size_t Utf8SequenceLength(std::string_view text);

}  // namespace samphire

#endif  // BASE_UTF8_H_
