#include "support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

namespace samphire {

namespace {

// Keeps signals from this thread, and from a process that it forks, until its
// end.
class blocked_signals {
 public:
  blocked_signals() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before_);
  }
  ~blocked_signals() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  blocked_signals(const blocked_signals&) = delete;
  blocked_signals& operator=(const blocked_signals&) = delete;

  // Lets signals through to a process that was forked, with their default
  // effect: the handlers of the test program would report a failure of its own
  // test.
  void EndInChild() const {
    for (const int handled : {SIGINT, SIGTERM})
      signal(handled, SIG_DFL);
    pthread_sigmask(SIG_SETMASK, &before_, nullptr);
  }

 private:
  sigset_t before_{};
};

}  // namespace

child_process::child_process(const std::string& program,
                             const std::vector<std::string>& arguments,
                             const std::string& log_path,
                             child_output output,
                             const std::vector<std::string>& environment) {
  const auto path = std::string(SAMPHIRE_BIN_DIR) + "/" + program;
  std::vector<char*> argv{const_cast<char*>(path.c_str())};
  for (const auto& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  std::vector<char*> variables;
  for (char** each = environ; *each != nullptr; ++each)
    variables.push_back(*each);
  for (const auto& each : environment)
    variables.push_back(const_cast<char*>(each.c_str()));
  variables.push_back(nullptr);
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0)
    throw std::runtime_error("pipe2 failed for a child's output");
  const int log =
      open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
  const pid_t parent = getpid();
  const blocked_signals blocked;
  pid_ = fork();
  if (pid_ == 0) {
    blocked.EndInChild();
    // The kernel kills this process when the test program dies, so that no
    // child outlives it. The test program may have died before prctl().
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(127);
    dup2(output == child_output::kLog ? log : ends[1], STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(path.c_str(), argv.data(), variables.data());
    _exit(127);
  }
  close(ends[1]);
  close(log);
  output_ = ends[0];
  if (pid_ < 0)
    throw std::runtime_error("fork failed for a child process");
}

child_process::~child_process() {
  Kill();
  close(output_);
}

std::string child_process::ReadLine() {
  std::string line;
  char c = 0;
  while (read(output_, &c, 1) == 1 && c != '\n')
    line += c;
  return line;
}

void child_process::Signal(int signal) const {
  if (!exit_)
    kill(pid_, signal);
}

int child_process::Wait() {
  // Keeps reading, so that the program doesn't block on a full pipe.
  char buffer[4096];
  while (read(output_, buffer, sizeof(buffer)) > 0) {
  }
  Reap(0);
  return exit_.value_or(-1);
}

bool child_process::running() {
  Reap(WNOHANG);
  return !exit_;
}

void child_process::Kill() {
  Signal(SIGKILL);
  Reap(0);
}

void child_process::Reap(int options) {
  int status = 0;
  if (exit_ || waitpid(pid_, &status, options) != pid_)
    return;
  exit_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace samphire
