#ifndef HISTORY_LOG_LOSSES_H_
#define HISTORY_LOG_LOSSES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace samphire {

// What the logs of entries tell of all requests together: how many were late,
// refused or failed, when, and for which cause.
class log_losses {
 public:
  struct span_count {
    std::uint64_t requests = 0;
    std::uint64_t late = 0;
    std::uint64_t unserved = 0;
  };

  // Takes in one line. What stands before its opening brace is passed over.
  void Read(std::string_view line);

  std::uint64_t requests() const { return requests_; }
  // By cause; a request has one at most.
  const std::map<std::string, std::uint64_t>& by_cause() const {
    return by_cause_;
  }
  // By the ten seconds in which requests ended, named by their first.
  const std::map<std::string, span_count>& by_span() const { return by_span_; }
  // Lines that are no JSON object.
  std::uint64_t unreadable() const { return unreadable_; }
  // Lines that entries had no budget for.
  std::uint64_t dropped() const { return dropped_; }

  // As a table to read.
  std::string Text() const;

 private:
  struct attempt {
    double load_before = 0;
    double slots = 0;
    bool knows_key = true;
    bool answered = false;
  };

  void CountEnd(const std::string& time,
                const std::string& result,
                int status,
                const attempt* last);
  static std::string LateCause(const attempt& last);

  std::uint64_t requests_ = 0;
  std::map<std::string, std::uint64_t> by_cause_;
  std::map<std::string, span_count> by_span_;
  std::uint64_t unreadable_ = 0;
  std::uint64_t dropped_ = 0;
  // Last attempts that failed or took longer than the objective, by instance
  // and request, of requests whose end was not read yet.
  std::map<std::string, attempt> open_;
};

}  // namespace samphire

#endif  // HISTORY_LOG_LOSSES_H_
