#include "ctl/log_files.h"

#include <fstream>

namespace samphire {

// Reads files only and contacts no entry, since logs are often examined when
// the entries that wrote them no longer exist.
result<void> ReadLogFiles(const std::vector<std::string>& paths,
                          const std::function<void(std::string_view)>& read) {
  for (const auto& path : paths) {
    std::ifstream file(path);
    if (!file)
      return MakeError(result_code::kFileUnreadable, path);
    for (std::string line; std::getline(file, line);)
      read(line);
  }
  return Success();
}

}  // namespace samphire
