#ifndef CONFIG_FILE_TEXT_H_
#define CONFIG_FILE_TEXT_H_

#include <string>

#include "base/result.h"

namespace samphire {

// The whole text of a file, at most `max_bytes` of it.
result<std::string> ReadFileText(const std::string& path,
                                 std::size_t max_bytes);

}  // namespace samphire

#endif  // CONFIG_FILE_TEXT_H_
