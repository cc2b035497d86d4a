#include "entry_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <stdexcept>
#include <system_error>

#include "loopback.h"

namespace review {

namespace {

// `run` and `template` of the role in the deploy file.
constexpr const char* kProgram = "target/bin/samphire-platform-entry";
constexpr const char* kTemplate = "deploy/settings.json.tmpl";
constexpr int kNotStarted = 127;
// `maxFds` of the machines.
constexpr rlim_t kMaxDescriptors = 4100;

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file)
    throw std::runtime_error("can't read " + path);
  return text.str();
}

// Fills in the template as the platform does.
std::string Render(const entry_machine& machine,
                   const installation& where,
                   const std::string& region) {
  const std::map<std::string, std::string> values{
      {"{{node|json}}", Quoted(machine.name)},
      {"{{zone|json}}", Quoted(machine.zone)},
      {"{{region|json}}", Quoted(region)},
      {"{{zones|json}}", where.zones},
      {"{{listen.front|json}}", Quoted(machine.front)},
      {"{{listen.ready|json}}", Quoted(machine.ready)},
      {"{{listen.directory|json}}", Quoted(machine.directory)},
      {"{{listen.control|json}}", Quoted(machine.control)},
      {"{{ip}}", machine.ip},
      {"{{seeds|json}}", where.seeds},
      {"{{bootstrap|json}}", where.bootstrap ? "true" : "false"},
      {"{{platform.address|json}}", Quoted(where.store_address)},
      {"{{bounds|json}}", where.bounds},
  };
  auto text = ReadFile(kTemplate);
  for (const auto& [placeholder, value] : values) {
    for (auto at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at + value.size()))
      text.replace(at, placeholder.size(), value);
  }
  if (text.find("{{") != std::string::npos)
    throw std::runtime_error("the template has another placeholder");
  return text;
}

}  // namespace

entry_machine MakeMachine(const std::string& name, const std::string& zone) {
  const auto ip = NextMachineIp();
  const auto address = [&] { return fmt::format("{}:{}", ip, FreePort(ip)); };
  return {.name = name,
          .zone = zone,
          .ip = ip,
          .front = address(),
          .ready = address(),
          .control = address(),
          .directory = address()};
}

entry_process::entry_process(const entry_machine& machine,
                             const installation& where,
                             const std::string& region,
                             const std::string& folder) {
  const auto settings = folder + "/" + machine.name + ".json";
  std::ofstream(settings) << Render(machine, where, region);
  const auto log_path = folder + "/" + machine.name + ".log";
  const int log =
      open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    // The process ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(kNotStarted);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const rlimit descriptors{kMaxDescriptors, kMaxDescriptors};
    setrlimit(RLIMIT_NOFILE, &descriptors);
    setenv("SAMPHIREWINCH_CONFIG", settings.c_str(), 1);
    execl(kProgram, kProgram, nullptr);
    _exit(kNotStarted);
  }
  close(log);
  if (pid_ < 0)
    throw std::runtime_error("fork failed");
}

entry_process::~entry_process() {
  if (running()) {
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void entry_process::Signal(int signal) const {
  if (!ended_)
    kill(pid_, signal);
}

std::size_t entry_process::descriptors() const {
  std::error_code failure;
  const std::filesystem::directory_iterator files(
      fmt::format("/proc/{}/fd", pid_), failure);
  return failure ? 0
                 : static_cast<std::size_t>(
                       std::distance(begin(files), end(files)));
}

bool entry_process::running() {
  if (!ended_)
    ended_ = waitpid(pid_, nullptr, WNOHANG) == pid_;
  return !ended_;
}

}  // namespace review
