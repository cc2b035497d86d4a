#ifndef TESTS_SOAK_EVACUATION_SOAK_H_
#define TESTS_SOAK_EVACUATION_SOAK_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "platform_adapter/stand_in_platform.h"
#include "platform_adapter/wire_target.h"
#include "soak/soak_finding.h"
#include "support/child_process.h"
#include "support/relay.h"

namespace samphire {

struct evacuation_soak_options {
  std::uint64_t seed = 1;
  int entries = 4;
  int callers = 8;
  int rounds = 3;
};

// Runs entry processes whose callers use kept connections until the process is
// gone, and evacuates a failure domain again and again while the store is
// silent, refuses calls and drops its history, links to it are cut, and entries
// are killed, stopped and told to read their settings. The public functions
// must be called by one thread.
class evacuation_soak {
 public:
  explicit evacuation_soak(const evacuation_soak_options& options);
  ~evacuation_soak();

  // Returns the violations. May be called once.
  std::vector<soak_finding> Run();
  // Numbers of requests sent, of those served, and of those sent while the
  // domain was to get nothing.
  int sent() const { return sent_; }
  int served() const { return served_; }
  int judged() const { return judged_; }

 private:
  struct entry {
    std::string caller_address;
    std::string settings_path;
    std::unique_ptr<relay> store_link;
    std::unique_ptr<child_process> process;
  };
  // A time within which no request is to arrive in the domain.
  struct closed_time {
    time_point from;
    time_point to;
    // The troubles beside it.
    std::string troubles;
  };

  void StartTargets();
  void StartEntry(entry& one);
  // Evacuates the domain beside random troubles, and takes that back.
  void PlayRound();
  // Begins a trouble that ends by `calm`; returns its name.
  std::string BeginTrouble(time_point calm);
  void EndTroubles();
  // Sends requests to each entry in turn, on one connection each, until
  // `sending_` is false.
  void RunCaller(int number);
  // Returns the time within which no request is to arrive, if `time` is one.
  const closed_time* ClosedAt(time_point time) const;
  void CheckArrivals();
  void CheckRecovery();
  entry& RandomEntry() { return *entries_[random_() % entries_.size()]; }

  const evacuation_soak_options options_;
  std::mt19937_64 random_;
  const std::filesystem::path folder_;
  platform::stand_in_platform store_;
  // Targets in the domain that is evacuated, and in another one.
  std::vector<std::unique_ptr<platform::wire_target>> evacuated_;
  std::vector<std::unique_ptr<platform::wire_target>> others_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<closed_time> closed_;
  std::atomic<bool> sending_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
  int judged_ = 0;
  bool drops_history_ = false;
  // Guards sent_at_.
  std::mutex lock_;
  std::vector<time_point> sent_at_;
  std::vector<soak_finding> findings_;
};

}  // namespace samphire

#endif  // TESTS_SOAK_EVACUATION_SOAK_H_
