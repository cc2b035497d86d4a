#ifndef HISTORY_HISTORY_READER_H_
#define HISTORY_HISTORY_READER_H_

#include <istream>
#include <string>
#include <vector>

#include "base/result.h"
#include "history/history_event.h"

namespace samphire {

// Reads several files and returns all their events in order of time. Fails with
// kFileUnreadable if a file cannot be opened, and as ReadHistory() does, with
// the path in the detail.
result<std::vector<history_event>> ReadHistories(
    const std::vector<std::string>& paths);

// Reads the events of one stream, in its order. An incomplete last line without
// a line end is skipped, since its writer was killed while writing it; any
// other invalid line is an error, with the line number in the detail.
result<std::vector<history_event>> ReadHistory(std::istream& stream);

}  // namespace samphire

#endif  // HISTORY_HISTORY_READER_H_
