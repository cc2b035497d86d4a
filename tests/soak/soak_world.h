#ifndef TESTS_SOAK_SOAK_WORLD_H_
#define TESTS_SOAK_SOAK_WORLD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "platform_adapter/divided_configuration.h"
#include "platform_adapter/stand_in_platform.h"
#include "platform_adapter/wire_target.h"
#include "soak/lookup_check.h"
#include "soak/process_cut.h"
#include "soak/request_record.h"
#include "soak/soak_finding.h"
#include "soak/upload_load.h"
#include "support/child_process.h"
#include "support/relay.h"

namespace samphire {

// Runs three entry processes against stand-ins of the platform's store and of
// targets, while it injects random faults. The links from entries to the store
// and to the targets go through relays, which can delay, cut or reset them.
// Processes are stopped, suspended and killed by signals and started again. The
// public functions must be called by one thread.
class soak_world {
 public:
  // Starts the processes. `seed` determines the sequence of faults and
  // requests.
  explicit soak_world(std::uint64_t seed);
  // Kills the processes, and removes their settings and logs unless there are
  // findings.
  ~soak_world();

  // Sends requests from several threads and injects faults for
  // `fault_duration`; then removes all faults and checks the guarantees.
  // Returns the violations. May be called once.
  std::vector<soak_finding> Run(std::chrono::seconds fault_duration);
  // Number of requests that succeeded while faults were injected, and of all
  // that were sent.
  int served() const { return served_; }
  int sent() const { return sent_; }
  // Number of look-ups that were judged while an entry was off.
  int judged_lookups() const { return lookups_.judged(); }
  // Number of uploads that succeeded while faults were injected.
  int served_uploads() const { return uploads_.served(); }
  // Number of uploads with odd but valid heads, and with malformed ones.
  int odd_heads() const { return uploads_.odd_heads(); }
  int malformed_heads() const { return uploads_.malformed_heads(); }

 private:
  // An entry process and its relay to the store.
  struct entry {
    std::string caller_address;
    std::string lookup_address;
    std::string settings_path;
    std::unique_ptr<relay> store_link;
    // Its links to targets.
    std::unique_ptr<process_cut> target_links;
    std::unique_ptr<child_process> process;
    // Incremented before and after each kill, which may cut requests in
    // progress; odd meanwhile.
    std::atomic<int> kills{0};
    // Whether SIGTERM was sent to the process, so that it is stopping.
    std::atomic<bool> leaving{false};
    // Until when the process is not started again once it has ended.
    time_point absent_until;
  };
  // A target and the relay through which entries reach it.
  struct target {
    std::unique_ptr<platform::wire_target> process;
    std::unique_ptr<relay> link;
    std::string service;
    // The state that it registered last.
    std::string state;
  };

  void StartEntry(entry& one);
  void KillEntry(entry& one);
  void StopEntry(entry& one);
  // Tells the check of look-ups which processes have ended by themselves.
  void NoteEnds();
  // Writes the object of a target, with its state, to the store.
  void Register(target& one, const std::string& state);
  // Writes the configuration of the current version to the store.
  void WriteConfiguration();
  // Lets the targets of a service break kept connections that have a request on
  // them.
  void InjectBrokenConnections();
  // Takes a copy of the store, or brings it back from the last one; its owners
  // then write again what was lost.
  void InjectRestore();
  // Inject a random fault, or end one.
  void InjectFault();
  void InjectEntryFault(entry& one);
  void InjectLinkFault(relay& link);
  // Ends an entry in one of several ways and keeps it away for longer than
  // look-ups may name it.
  void InjectAbsence();
  // Ends one or two entries and keeps them away for as long, without any other
  // fault.
  void KeepEntriesAway();
  // Lets a target leave while an entry starts whose listing has pages of
  // different ages, and checks that no request reaches the target later than it
  // serves for.
  void LeaveDuringListing();
  // Writes versions with many routes more and turned weights while entries
  // restart and are cut from targets, and checks how old the versions are that
  // entries go by, and the shares of the divided route.
  void TurnWeights();
  // Sends one window of requests by the divided route, and returns the share of
  // those that ran which "reads" got.
  double ShareOfReads();
  // Returns whether the log of the entry has the version in force.
  bool IsInForce(const entry& one) const;
  // Cuts the links of one or two entries to targets, or ends all such cuts.
  void InjectCut();
  // Ends all faults and starts the processes that have ended.
  void RemoveFaults();
  // Sends requests until `sending_` is false; runs in a thread per caller.
  void RunCaller(std::uint64_t seed);
  void SendRequest(std::mt19937_64& random, std::uint64_t number);
  // Asks all entries in turn whom they name until `sending_` is false.
  void RunLookups();
  // Sends uploads until `sending_` is false.
  void RunUploads();
  // Check one kind of guarantee each and add what violates it to the findings.
  void CheckRequests();
  void CheckLookups();
  void CheckUploads();
  void CheckLogs();
  std::vector<std::string> LogLines() const;
  void CheckRecovery();
  void CheckConfiguration();
  void AddFinding(std::string guarantee, std::string detail);

  const std::uint64_t seed_;
  std::mt19937_64 random_;
  // Decides on restores of the store, apart from the other faults.
  std::mt19937_64 restore_random_;
  // The same for cuts of entries from targets.
  std::mt19937_64 cut_random_;
  // The same for targets that break connections.
  std::mt19937_64 connection_random_;
  // The same for entries that stay away.
  std::mt19937_64 absence_random_;
  // The same for what happens beside turned weights.
  std::mt19937_64 weight_random_;
  // The same for uploads and their targets.
  std::mt19937_64 upload_random_;
  upload_load uploads_;
  lookup_check lookups_;
  const std::filesystem::path folder_;
  // The state that every other page of a listing that may be stale shows while
  // the flag is set.
  stand_in_objects::copy stale_state_;
  std::atomic<bool> shows_stale_pages_{false};
  std::atomic<int> stale_pages_{0};
  platform::stand_in_platform store_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<target> targets_;
  platform::divided_configuration configuration_;
  // Number of reports that targets have written.
  int reports_ = 0;
  std::atomic<bool> sending_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
  request_record requests_;
  // Guards findings_.
  std::mutex lock_;
  std::vector<soak_finding> findings_;
};

}  // namespace samphire

#endif  // TESTS_SOAK_SOAK_WORLD_H_
