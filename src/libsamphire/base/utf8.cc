#include "base/utf8.h"

#include <Poco/UTF8Encoding.h>

#include <algorithm>

namespace samphire {

std::size_t Utf8SequenceLength(std::string_view text) {
  // UTF-8 encodes a character in at most four bytes.
  constexpr std::size_t kMaxSequenceBytes = 4;
  if (text.empty())
    return 0;
  const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
  if (*bytes < 0x80)
    return 1;
  const int length = Poco::UTF8Encoding().sequenceLength(
      bytes, static_cast<int>(std::min(text.size(), kMaxSequenceBytes)));
  if (length < 2 || static_cast<std::size_t>(length) > text.size() ||
      !Poco::UTF8Encoding::isLegal(bytes, length))
    return 0;
  return static_cast<std::size_t>(length);
}

}  // namespace samphire
