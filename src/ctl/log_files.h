#ifndef CTL_LOG_FILES_H_
#define CTL_LOG_FILES_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace samphire {

// Calls `read` with every line of the files, in order. Fails with
// kFileUnreadable and the path of the first file that cannot be opened; the
// lines of the files before it have been read by then.
result<void> ReadLogFiles(const std::vector<std::string>& paths,
                          const std::function<void(std::string_view)>& read);

}  // namespace samphire

#endif  // CTL_LOG_FILES_H_
