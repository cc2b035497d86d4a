#ifndef TESTS_SUPPORT_WAIT_UNTIL_H_
#define TESTS_SUPPORT_WAIT_UNTIL_H_

#include <chrono>
#include <thread>

namespace samphire {

// Polls `condition` every 5 ms until it returns true, or for `limit`; returns
// whether it did. The limit only ends a test that hangs: no test result depends
// on how long the condition took.
template <typename F>
bool WaitUntil(F condition,
               std::chrono::seconds limit = std::chrono::seconds(60)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

}  // namespace samphire

#endif  // TESTS_SUPPORT_WAIT_UNTIL_H_
