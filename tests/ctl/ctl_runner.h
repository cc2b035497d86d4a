#ifndef CTL_CTL_RUNNER_H_
#define CTL_CTL_RUNNER_H_

#include <Poco/TemporaryFile.h>

#include <string>
#include <vector>

namespace samphire {

// What one run of samphirectl gave.
struct ctl_run {
  int code = -1;
  std::string output;
  std::string errors;
};

// Runs the real program with a token file, an operator's name and `urls`.
class ctl_runner {
 public:
  explicit ctl_runner(const std::string& urls);

  ctl_run Run(const std::vector<std::string>& arguments) const;

 private:
  std::string urls_;
  Poco::TemporaryFile token_file_;
};

// Runs the real program with nothing but `arguments`.
ctl_run RunCtl(const std::vector<std::string>& arguments);

}  // namespace samphire

#endif  // CTL_CTL_RUNNER_H_
