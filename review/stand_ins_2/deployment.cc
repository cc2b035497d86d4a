#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <fstream>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr std::size_t kEntries = 2;
constexpr int kReadyTries = 100;
constexpr std::chrono::milliseconds kReadyInterval{100};
// The command of the deploy file; it starts in the root of the repository.
constexpr const char* kProgram = "target/bin/samphire-platform-entry";

// The bounds of a small deployment.
constexpr const char* kBounds =
    R"(["seedLag=3s","reuseAfter=2s","stableWindow=4000ms","ack=4000ms",)"
    R"("catchUp=4s","drain=2500ms","grace=6s","lossSlack=200ms",)"
    R"("configApply=2500ms","rollbackSlack=250ms","outerBound=6000ms",)"
    R"("retryBudgetRatio=0.2","budgetWindow=10s","retryBudgetSlack=60",)"
    R"("coldLoadFactor=1.5","coldSlack=5","evac=5000ms","recover=15s",)"
    R"("ttl_max=5s","maxRegionShift=0.15"])";

constexpr const char* kManifest =
    R"("spec":{"version":"00000003","limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":1048576,"headerTimeout":"3s","idleTimeout":"15s"},)"
    R"("listeners":[{"host":"gauge.example","rules":[)"
    R"({"name":"levels","kind":"safe","priority":1,"targetLatency":"600ms",)"
    R"("match":{"pathPrefix":"/levels/"},"action":{"service":"dashboard",)"
    R"("timeout":"1500ms","maxAttempts":2}},)"
    R"({"name":"alarms","kind":"non_idempotent","priority":0,)"
    R"("targetLatency":"800ms","match":{"pathPrefix":"/alarms/"},)"
    R"("action":{"service":"alarms","timeout":"1500ms","maxAttempts":2}}]}],)"
    R"("clusters":[)"
    R"({"name":"dashboard","healthPath":"/health","warmup":"3s","coldPerS":3},)"
    R"({"name":"alarms","healthPath":"/health","warmup":"3s","coldPerS":3}]})";

std::string ZoneOf(std::size_t entry) {
  return "col-hall-" + std::string(1, static_cast<char>('a' + entry));
}

}  // namespace

entry_process::entry_process(const std::string& settings,
                             const std::string& log) {
  const auto variable = "SAMPHIREWINCH_CONFIG=" + settings;
  const auto path = "PATH=" + std::string("/usr/bin:/bin");
  pid_ = fork();
  if (pid_ != 0)
    return;
  // Ends the entry with this program, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  std::array<char*, 2> arguments{const_cast<char*>(kProgram), nullptr};
  std::array<char*, 3> environment{const_cast<char*>(variable.c_str()),
                                   const_cast<char*>(path.c_str()), nullptr};
  execve(kProgram, arguments.data(), environment.data());
  _exit(127);
}

entry_process::~entry_process() {
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

deployment::deployment(const std::string& folder, record& log)
    : folder_(folder), log_(log) {
  for (std::size_t i = 0; i < kEntries; ++i) {
    callers_.push_back(FreeAddress());
    readiness_.push_back(FreeAddress());
    peers_.push_back(FreeAddress());
  }
  store_.Write("config/main", kManifest);
}

worker& deployment::AddWorker(
    const std::string& service,
    std::function<header_list(const http_message&)> extra_headers) {
  const auto number = workers_.size();
  workers_.push_back(
      std::make_unique<worker>("i-" + service + "-" + std::to_string(number),
                               service, log_, std::move(extra_headers)));
  auto& added = *workers_.back();
  store_.Write("servers/" + added.id(),
               added.StoreContent(ZoneOf(number % kEntries)));
  return added;
}

bool deployment::Start() {
  for (std::size_t i = 0; i < kEntries; ++i) {
    const auto name = folder_ + "/entry-" + std::to_string(i);
    std::ofstream(name + ".json") << SettingsOf(i);
    processes_.push_back(
        std::make_unique<entry_process>(name + ".json", name + ".log"));
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    int tries = 0;
    while (!IsReady(i)) {
      if (++tries == kReadyTries)
        return false;
      std::this_thread::sleep_for(kReadyInterval);
    }
  }
  log_.Write("all entries are ready");
  return true;
}

std::string deployment::SettingsOf(std::size_t entry) const {
  const auto zone = ZoneOf(entry);
  return R"({"instance":"front-)" + zone + R"(-1","failure_domain":")" + zone +
         R"(","region":"colombo","failure_domains":{"col-hall-a":"colombo",)" +
         R"("col-hall-b":"colombo"},"caller_address":")" + callers_[entry] +
         R"(","readiness_address":")" + readiness_[entry] +
         R"(","lookup_address":")" + FreeAddress() + R"(","peer_address":")" +
         peers_[entry] + R"(","metrics_address":")" + FreeAddress() +
         R"(","seeds":[")" + peers_[0] + R"(",")" + peers_[1] +
         R"("],"first_start":true,)" +
         R"("peer_key":"replace-this-key-in-each-installation-0001",)" +
         R"("store_addresses":[")" + store_.address() + R"("],"bounds":)" +
         kBounds + "}";
}

bool deployment::IsReady(std::size_t entry) const {
  constexpr int kTimeoutMs = 1000;
  auto link = http_link::Open(readiness_[entry]);
  if (!link || !link->Send("GET /samphirewinch/ready HTTP/1.1\r\nHost: " +
                           kHost + "\r\n\r\n"))
    return false;
  const auto response = link->Read(kTimeoutMs);
  return response && response->start_line.starts_with("HTTP/1.1 200");
}

std::vector<worker_run> deployment::Runs() {
  std::vector<worker_run> all;
  for (const auto& each : workers_) {
    const auto runs = each->runs();
    all.insert(all.end(), runs.begin(), runs.end());
  }
  return all;
}

}  // namespace review
