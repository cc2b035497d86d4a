#include "record.h"

#include <array>
#include <cstdio>

namespace review {

record::record(const std::string& path)
    : start_(std::chrono::steady_clock::now()), file_(path) {}

double record::Now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       start_)
      .count();
}

void record::Write(const std::string& line) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", Now());
  std::lock_guard guard(lock_);
  file_ << time.data() << line << std::endl;
}

std::string Printable(const std::string& text) {
  constexpr unsigned char kDelete = 0x7f;
  std::string printable;
  for (const char c : text) {
    const auto code = static_cast<unsigned char>(c);
    if (code >= ' ' && code != kDelete) {
      printable += c;
      continue;
    }
    std::array<char, 8> escaped{};
    std::snprintf(escaped.data(), escaped.size(), "\\x%02x", code);
    printable += escaped.data();
  }
  return printable;
}

}  // namespace review
