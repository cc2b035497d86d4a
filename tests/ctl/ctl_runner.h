#ifndef CTL_CTL_RUNNER_H_
#define CTL_CTL_RUNNER_H_

#include <Poco/TemporaryFile.h>

#include <string>
#include <vector>

namespace samphire {

// The exit code and the output of one run of samphirectl.
struct ctl_run {
  int code = -1;
  // Standard output and standard error.
  std::string output;
  std::string errors;
};

// Runs the samphirectl binary as a process with a token file, an operator name,
// short time limits and the entries at `urls`.
class ctl_runner {
 public:
  explicit ctl_runner(const std::string& urls);

  // Appends `arguments` to these defaults and waits for the process to end.
  ctl_run Run(const std::vector<std::string>& arguments) const;

 private:
  std::string urls_;
  Poco::TemporaryFile token_file_;
};

// Runs the samphirectl binary with `arguments` only.
ctl_run RunCtl(const std::vector<std::string>& arguments);

}  // namespace samphire

#endif  // CTL_CTL_RUNNER_H_
