#ifndef TESTS_SUPPORT_CHILD_PROCESS_H_
#define TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace samphire {

// Where a program's standard output goes.
enum class child_output { kReadLine, kLog };

// One real program, started with arguments and killed by its pid at the end.
class child_process {
 public:
  // `log_path` takes what it writes to standard error, and with kLog also what
  // it writes to standard output, which ReadLine otherwise reads.
  child_process(const std::string& program,
                const std::vector<std::string>& arguments,
                const std::string& log_path,
                child_output output = child_output::kReadLine);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  // The first line of standard output; "" when there is none.
  std::string ReadLine();
  void Signal(int signal) const;
  // Waits for the end and returns the exit code, or minus the signal that
  // ended it.
  int Wait();
  bool running();
  // Ends it at once, as a crash of the instance does.
  void Kill();

 private:
  void Reap(int options);

  pid_t pid_ = -1;
  int output_ = -1;
  std::optional<int> exit_;
};

}  // namespace samphire

#endif  // TESTS_SUPPORT_CHILD_PROCESS_H_
