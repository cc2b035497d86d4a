#include "record.h"

#include <stdexcept>

namespace review {

record::record(const std::string& path)
    : started_(std::chrono::steady_clock::now()), file_(path) {
  if (!file_)
    throw std::runtime_error("can't write " + path);
}

void record::Write(const std::string& line) {
  std::lock_guard guard(lock_);
  file_ << now().count() << " ms  " << line << std::endl;
}

std::chrono::milliseconds record::now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - started_);
}

}  // namespace review
