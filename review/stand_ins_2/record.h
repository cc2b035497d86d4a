#ifndef REVIEW_STAND_INS_2_RECORD_H_
#define REVIEW_STAND_INS_2_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

// Writes what was sent, answered and run to a file, a line each, with the
// seconds since the start. Thread-safe.
class record {
 public:
  explicit record(const std::string& path);

  void Write(const std::string& line);
  // Seconds since the start.
  double Now() const;

 private:
  const std::chrono::steady_clock::time_point start_;
  std::mutex lock_;
  std::ofstream file_;
};

// Returns `text` with each line break and other control character written as
// its number.
std::string Printable(const std::string& text);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_RECORD_H_
