#ifndef HISTORY_HISTORY_READER_H_
#define HISTORY_HISTORY_READER_H_

#include <istream>
#include <string>
#include <vector>

#include "base/result.h"
#include "history/history_event.h"

namespace samphire {

// All events of several files in the order of their times.
result<std::vector<history_event>> ReadHistories(
    const std::vector<std::string>& paths);

// The events of one stream, in its order. A last line without an end is left
// out: its writer was killed while it wrote.
result<std::vector<history_event>> ReadHistory(std::istream& stream);

}  // namespace samphire

#endif  // HISTORY_HISTORY_READER_H_
