#ifndef REVIEW_STAND_INS_RECORD_H_
#define REVIEW_STAND_INS_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

// The file that tells what was sent, answered and run, one event a line with
// its time in milliseconds since the start. Thread-safe.
class record {
 public:
  explicit record(const std::string& path);

  void Write(const std::string& line);
  // Time since the start.
  std::chrono::milliseconds now() const;

 private:
  const std::chrono::steady_clock::time_point started_;
  std::mutex lock_;
  std::ofstream file_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_RECORD_H_
