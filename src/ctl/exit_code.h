#ifndef CTL_EXIT_CODE_H_
#define CTL_EXIT_CODE_H_

namespace samphire {

// The exit codes of samphirectl. Scripts depend on the numbers, so they never
// change.
enum class exit_code {
  // The command succeeded.
  kDone = 0,
  // Refused, or certainly not executed, with a numbered result code; a change
  // is
  // not in force.
  kRefused = 1,
  // The command line is wrong; nothing was sent.
  kUsage = 2,
  // The change may or may not have taken effect; the output names the command
  // that finds out.
  kUnknown = 3,
};

}  // namespace samphire

#endif  // CTL_EXIT_CODE_H_
