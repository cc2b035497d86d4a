#include "soak/soak_folder.h"

#include <fmt/format.h>
#include <unistd.h>

#include <system_error>

namespace samphire {

std::filesystem::path MakeSoakFolder(const std::string& kind,
                                     std::uint64_t seed) {
  auto folder = std::filesystem::temp_directory_path() /
                fmt::format("samphire-{}-{}-{}", kind, getpid(), seed);
  std::filesystem::create_directories(folder);
  return folder;
}

void RemoveSoakFolder(const std::filesystem::path& folder,
                      const std::vector<soak_finding>& findings) {
  std::error_code ignored;
  if (findings.empty())
    std::filesystem::remove_all(folder, ignored);
}

}  // namespace samphire
