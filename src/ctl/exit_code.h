#ifndef CTL_EXIT_CODE_H_
#define CTL_EXIT_CODE_H_

namespace samphire {

// What scripts go by; the numbers are a contract.
enum class exit_code {
  kDone = 0,
  // Refused with a numbered code: not in force, not done.
  kRefused = 1,
  kUsage = 2,
  // It may have happened or not; the output says how to find out.
  kUnknown = 3,
};

}  // namespace samphire

#endif  // CTL_EXIT_CODE_H_
