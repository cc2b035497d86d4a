#include "config/file_text.h"

#include <fmt/format.h>

#include <fstream>

namespace samphire {

// Reads at most one byte more than allowed, so that a device or a file that
// keeps growing is refused as well instead of being read indefinitely.
result<std::string> ReadFileText(const std::string& path,
                                 std::size_t max_bytes) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return MakeError(result_code::kFileUnreadable, path);
  std::string text(max_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || (file.fail() && !file.eof()))
    return MakeError(result_code::kFileUnreadable, path);
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > max_bytes) {
    return MakeError(
        result_code::kFileTooLarge,
        fmt::format("{}: exceeds the limit of {} bytes", path, max_bytes));
  }
  return text;
}

}  // namespace samphire
