#ifndef TESTS_SOAK_LOOKUP_CHECK_H_
#define TESTS_SOAK_LOOKUP_CHECK_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Judges whom look-ups name, against what is known of the entries' processes.
// Entries go by their caller addresses. Thread-safe.
class lookup_check {
 public:
  // An entry must not be named for longer than `unlisting_time` after its end,
  // by entries that nothing has disturbed for `stable_window`.
  lookup_check(milliseconds stable_window, milliseconds unlisting_time);

  void OnStarted(const std::string& entry, time_point now);
  // Tells that a process has ended, at `now` or before.
  void OnEnded(const std::string& entry, time_point now);
  // Tells that a process was asked to stop. It may then answer that it knows no
  // other entry.
  void OnLeaving(const std::string& entry, time_point now);
  // Tells that a process was suspended or resumed.
  void OnDisturbed(const std::string& entry, time_point now);
  // Judges the answer of `asked` to a look-up that was sent at `sent`.
  void OnAnswer(const std::string& asked,
                const std::vector<std::string>& named,
                time_point sent);

  // Returns a description of each answer that breaks the rule.
  std::vector<std::string> violations() const;
  // Number of answers that were judged while some entry was off for longer than
  // it may be named.
  int judged() const;

 private:
  struct presence {
    bool running = false;
    bool leaving = false;
    // Since when it is running or not.
    time_point since;
    time_point undisturbed_since;
  };
  // Whether an entry has been off for too long to be named at `sent`.
  bool IsLongOff(const presence& each, time_point sent) const;

  const milliseconds stable_window_;
  const milliseconds unlisting_time_;
  mutable std::mutex lock_;
  std::map<std::string, presence> entries_;
  std::vector<std::string> violations_;
  int judged_ = 0;
};

}  // namespace samphire

#endif  // TESTS_SOAK_LOOKUP_CHECK_H_
