#ifndef TESTS_SUPPORT_CHILD_PROCESS_H_
#define TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace samphire {

// Where a program's standard output goes: to ReadLine, or to the log file.
enum class child_output { kReadLine, kLog };

// A program of the build, run as a child process, and killed by its pid when
// this object is destroyed. Not thread-safe.
class child_process {
 public:
  // Starts `program`, a file name in the build's output directory. Appends its
  // standard error to the file `log_path`, and with kLog also its standard
  // output, which is otherwise read by ReadLine. Throws std::runtime_error if
  // no process can be created; if the program can't be executed, its exit code
  // is 127. `environment` lists variables, as NAME=VALUE, that the program gets
  // in addition.
  child_process(const std::string& program,
                const std::vector<std::string>& arguments,
                const std::string& log_path,
                child_output output = child_output::kReadLine,
                const std::vector<std::string>& environment = {});
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  // Blocks for the next line of standard output and returns it without the line
  // break; "" if the output has ended.
  std::string ReadLine();
  // Sends a signal, unless the process is known to have ended.
  void Signal(int signal) const;
  // Blocks until the process ends and returns its exit code, or the negative
  // number of the signal that ended it. Discards further standard output.
  int Wait();
  // Returns whether the process has not ended yet.
  bool running();
  // Kills the process with SIGKILL, as a crash of its instance would.
  void Kill();

 private:
  // Sets `exit_` if the process has ended; `options` as for waitpid().
  void Reap(int options);

  pid_t pid_ = -1;
  int output_ = -1;
  std::optional<int> exit_;
};

}  // namespace samphire

#endif  // TESTS_SUPPORT_CHILD_PROCESS_H_
