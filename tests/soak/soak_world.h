#ifndef TESTS_SOAK_SOAK_WORLD_H_
#define TESTS_SOAK_SOAK_WORLD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "platform_adapter/stand_in_platform.h"
#include "platform_adapter/wire_target.h"
#include "soak/soak_finding.h"
#include "support/child_process.h"
#include "support/relay.h"

namespace samphire {

// Real entry processes between stand-ins of the platform's store and targets.
// Every link but that of the callers runs through a relay, so that it can be
// delayed, cut, silenced or reset; processes are stopped, frozen, killed and
// started again by signals.
class soak_world {
 public:
  explicit soak_world(std::uint64_t seed);
  ~soak_world();

  // Callers ask and faults strike for `time`; then all is healed, and what was
  // promised is judged.
  std::vector<soak_finding> Run(std::chrono::seconds time);
  // Requests that were answered whole while faults struck, and asked in all.
  int served() const { return served_; }
  int asked() const { return asked_; }

 private:
  struct entry {
    std::string caller_address;
    std::string settings_path;
    std::unique_ptr<relay> store_link;
    std::unique_ptr<child_process> process;
    // Rises with each kill, which may cut what is in progress.
    std::atomic<int> kills{0};
    // SIGTERM was sent, and the process is on its way out.
    std::atomic<bool> leaving{false};
  };
  struct target {
    std::unique_ptr<platform::wire_target> process;
    std::unique_ptr<relay> link;
    std::string service;
  };
  // A request whose connection ended without an answer.
  struct broken_request {
    std::string id;
    // Its entry was asked to stop before or meanwhile.
    bool stopping = false;
    // Which entry it was, and how long the request took.
    std::string entry;
    std::chrono::milliseconds took{0};
  };
  // What a caller was told of a request that may run once at most.
  struct claim {
    std::string id;
    int status = 0;
  };

  void StartEntry(entry& one);
  void Register(const target& one, const std::string& state);
  void Strike();
  void StrikeEntry(entry& one);
  void StrikeLink(relay& link);
  void Heal();
  void Ask(std::uint64_t seed);
  void AskOnce(std::mt19937_64& random, std::uint64_t number);
  void Judge();
  void JudgeBroken();
  void JudgeLogs();
  std::vector<std::string> LogLines() const;
  void JudgeRecovery();
  void Find(std::string promise, std::string detail);

  const std::uint64_t seed_;
  std::mt19937_64 random_;
  const std::filesystem::path folder_;
  platform::stand_in_platform store_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<target> targets_;
  std::uint64_t version_ = 1;
  std::atomic<bool> asking_{false};
  std::atomic<int> asked_{0};
  std::atomic<int> served_{0};
  std::mutex lock_;
  std::vector<claim> claims_;
  std::vector<broken_request> broken_;
  std::vector<soak_finding> findings_;
};

}  // namespace samphire

#endif  // TESTS_SOAK_SOAK_WORLD_H_
