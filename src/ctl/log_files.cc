#include "ctl/log_files.h"

#include <fstream>

namespace samphire {

// Works on files alone, since whoever asks has the logs of entries that may be
// long gone.
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
