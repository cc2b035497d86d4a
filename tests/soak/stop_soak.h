#ifndef TESTS_SOAK_STOP_SOAK_H_
#define TESTS_SOAK_STOP_SOAK_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "platform_adapter/kept_callers.h"
#include "platform_adapter/paced_target.h"
#include "platform_adapter/stand_in_platform.h"
#include "soak/soak_finding.h"
#include "support/child_process.h"

namespace samphire {

// The size of a soak of stops.
struct stop_soak_plan {
  std::uint64_t seed = 1;
  int entries = 3;
  int callers = 36;
  std::chrono::seconds duration{8};
};

// Entry processes that are stopped, killed, reloaded and started again, singly
// and several at once, while callers use kept connections until their entry is
// gone, targets answer slowly and in pieces, and odd entries come and go in the
// store. All public functions must be called by one thread.
class stop_soak {
 public:
  explicit stop_soak(const stop_soak_plan& plan);
  // Kills the processes; keeps settings and logs if there are findings.
  ~stop_soak();

  // Injects faults for the planned time and returns what broke a guarantee. May
  // be called once.
  std::vector<soak_finding> Run();
  int calls() const { return calls_; }
  int stops() const { return stops_; }

 private:
  using time = std::chrono::steady_clock::time_point;

  // The time before a process was killed, and that at which it was gone.
  struct kill_time {
    time begin;
    time end;
  };
  // What happened to one entry, and its process.
  struct entry {
    std::string address;
    std::string settings_path;
    std::unique_ptr<child_process> process;
    // When SIGTERM was sent to each process that was stopped.
    std::vector<time> stops;
    std::vector<kill_time> kills;
    time started;
    bool stopping = false;
  };

  void WriteSettings(const entry& one,
                     const std::string& seed_address,
                     const std::string& peer_address);
  void Start(entry& one);
  void Stop(entry& one);
  void Kill(entry& one);
  // Notes processes that have ended, and kills those whose grace is over.
  void Watch(entry& one);
  void InjectFault();
  // Writes an odd entry to the store, or removes one.
  void InjectOddEntry();
  void Judge(const platform::kept_call& call,
             const std::multimap<std::string, platform::paced_run>& runs);
  void CheckLogs();
  void Add(std::string guarantee, std::string detail);

  const stop_soak_plan plan_;
  std::mt19937_64 random_;
  const std::filesystem::path folder_;
  platform::stand_in_platform store_;
  std::vector<std::unique_ptr<platform::paced_target>> targets_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<soak_finding> findings_;
  int odd_entries_ = 0;
  int calls_ = 0;
  int stops_ = 0;
};

}  // namespace samphire

#endif  // TESTS_SOAK_STOP_SOAK_H_
