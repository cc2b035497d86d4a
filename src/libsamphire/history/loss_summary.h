#ifndef HISTORY_LOSS_SUMMARY_H_
#define HISTORY_LOSS_SUMMARY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace samphire {

// Summarizes from the logs of entries how many requests were late, refused or
// failed, when, and for which cause. Lines of one entry must be read in their
// order. Not synchronized: used by one thread at a time.
class loss_summary {
 public:
  // Requests that ended in one interval.
  struct interval_counts {
    std::uint64_t requests = 0;
    // Answered, but later than the latency objective.
    std::uint64_t late = 0;
    // Refused or failed.
    std::uint64_t unserved = 0;
  };

  // Takes one line of a log. Text before its opening brace is skipped.
  void Read(std::string_view line);

  std::uint64_t requests() const { return requests_; }
  // Late and unserved requests by cause; a request has at most one.
  const std::map<std::string, std::uint64_t>& by_cause() const {
    return by_cause_;
  }
  // By the interval of ten seconds in which requests ended; the key is the
  // start of the interval.
  const std::map<std::string, interval_counts>& by_interval() const {
    return by_interval_;
  }
  // Number of lines that are not a JSON object.
  std::uint64_t unreadable() const { return unreadable_; }
  // Number of lines that entries dropped because their log budget was spent, as
  // reported by the entries.
  std::uint64_t dropped() const { return dropped_; }

  // Formats the summary as a table for people.
  std::string Text() const;

 private:
  // What the log line of an attempt says: load and slots of the target, whether
  // the target was known to have the key, and whether it answered.
  struct attempt {
    double load_before = 0;
    double slots = 0;
    bool knows_key = true;
    bool answered = false;
  };

  // Counts a request at its end. `last` is its last logged attempt or null.
  void CountCompletion(const std::string& time,
                       const std::string& result,
                       int status,
                       const attempt* last);
  static std::string LateCause(const attempt& last);

  std::uint64_t requests_ = 0;
  std::map<std::string, std::uint64_t> by_cause_;
  std::map<std::string, interval_counts> by_interval_;
  std::uint64_t unreadable_ = 0;
  std::uint64_t dropped_ = 0;
  // Last logged attempts, which failed or took longer than the latency
  // objective, of requests whose end has not been read yet; by instance and
  // request.
  std::map<std::string, attempt> pending_;
};

}  // namespace samphire

#endif  // HISTORY_LOSS_SUMMARY_H_
