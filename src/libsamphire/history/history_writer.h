#ifndef HISTORY_HISTORY_WRITER_H_
#define HISTORY_HISTORY_WRITER_H_

#include <cstdio>
#include <memory>
#include <mutex>
#include <string>

#include "base/result.h"
#include "history/history_event.h"

namespace samphire {

// Appends events to a file, one line each, and flushes after each. Several
// threads may write; a mutex keeps their lines apart. Write errors are ignored.
class history_writer {
 public:
  // A writer without a file discards all events.
  history_writer() = default;

  // Opens a file for appending and creates it if necessary. Fails with
  // kFileUnreadable.
  static result<std::unique_ptr<history_writer>> Open(const std::string& path);

  void Write(const history_event& event);

 private:
  struct file_closer {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };

  std::mutex lock_;
  std::unique_ptr<std::FILE, file_closer> file_;
};

// Returns the current time for an event.
history_time HistoryNow();

}  // namespace samphire

#endif  // HISTORY_HISTORY_WRITER_H_
