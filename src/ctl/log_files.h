#ifndef CTL_LOG_FILES_H_
#define CTL_LOG_FILES_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace samphire {

// Gives every line of the files to `read`. kFileUnreadable with the path of the
// first that can't be opened.
result<void> ReadLogFiles(const std::vector<std::string>& paths,
                          const std::function<void(std::string_view)>& read);

}  // namespace samphire

#endif  // CTL_LOG_FILES_H_
