#ifndef CONFIG_CONFIG_TEST_SUPPORT_H_
#define CONFIG_CONFIG_TEST_SUPPORT_H_

#include <string>

#include "config/declaration.h"
#include "config/declaration_reader.h"
#include "config/file_text.h"
#include "config/json_text.h"
#include "config/wall_time_text.h"

namespace samphire {

// The current time in tests of drains.
inline const wall_time kTestNow = *ParseWallTime("2026-12-02T08:00:00Z");

// Returns the contents of a file in the source tree; throws if it is
// unreadable.
inline std::string RepositoryText(const std::string& path) {
  return ReadFileText(SAMPHIRE_SOURCE_DIR "/" + path, kMaxJsonBytes).value();
}

inline std::string ExampleText(const std::string& name) {
  return RepositoryText("examples/" + name + ".json");
}

// Returns a declaration from examples/, read as of kTestNow.
inline declaration Example(const std::string& name) {
  return ReadDeclaration(ExampleText(name), kTestNow).value();
}

}  // namespace samphire

#endif  // CONFIG_CONFIG_TEST_SUPPORT_H_
