#ifndef CONFIG_FILE_TEXT_H_
#define CONFIG_FILE_TEXT_H_

#include <string>

#include "base/result.h"

namespace samphire {

// Returns the contents of a file. Fails with kFileUnreadable if it cannot be
// opened or read, and with kFileTooLarge if it is longer than `max_bytes`.
result<std::string> ReadFileText(const std::string& path,
                                 std::size_t max_bytes);

}  // namespace samphire

#endif  // CONFIG_FILE_TEXT_H_
