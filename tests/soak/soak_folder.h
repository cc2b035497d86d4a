#ifndef TESTS_SOAK_SOAK_FOLDER_H_
#define TESTS_SOAK_SOAK_FOLDER_H_

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "soak/soak_finding.h"

namespace samphire {

// Creates a folder for the settings and logs of one soak.
std::filesystem::path MakeSoakFolder(const std::string& kind,
                                     std::uint64_t seed);
// Removes the folder unless there are findings, whose traces it holds.
void RemoveSoakFolder(const std::filesystem::path& folder,
                      const std::vector<soak_finding>& findings);

}  // namespace samphire

#endif  // TESTS_SOAK_SOAK_FOLDER_H_
