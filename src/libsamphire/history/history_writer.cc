#include "history/history_writer.h"

#include <chrono>

#include "history/history_codec.h"

namespace samphire {

result<std::unique_ptr<history_writer>> history_writer::Open(
    const std::string& path) {
  auto writer = std::make_unique<history_writer>();
  writer->file_.reset(std::fopen(path.c_str(), "a"));
  if (!writer->file_)
    return MakeError(result_code::kFileUnreadable, path);
  return writer;
}

void history_writer::Write(const history_event& event) {
  if (!file_)
    return;
  const auto line = EncodeEvent(event) + "\n";
  std::lock_guard guard(lock_);
  std::fwrite(line.data(), 1, line.size(), file_.get());
  // Events must not be lost in a buffer when the process is killed: the checker
  // would conclude from a missing event that the run never happened.
  std::fflush(file_.get());
}

history_time HistoryNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace samphire
