#include "support/child_process.h"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <string>

using namespace samphire;

namespace {

constexpr const char* kResultsVariable = "SAMPHIRE_TEST_RESULTS";

// Lets results of test cases go to another file until its end.
class other_results {
 public:
  explicit other_results(const std::string& path) {
    const char* before = std::getenv(kResultsVariable);
    before_ = before == nullptr ? "" : before;
    setenv(kResultsVariable, path.c_str(), 1);
  }
  ~other_results() {
    if (before_.empty())
      unsetenv(kResultsVariable);
    else
      setenv(kResultsVariable, before_.c_str(), 1);
  }
  other_results(const other_results&) = delete;
  other_results& operator=(const other_results&) = delete;

 private:
  std::string before_;
};

}  // namespace

// Guards against a test that counts as failed because a signal for a child came
// before that had begun its program.
TEST_CASE("a signal for a child that begins is not the test's") {
  const auto folder = std::filesystem::temp_directory_path();
  const auto log = folder / fmt::format("samphire-child-{}.log", getpid());
  const auto results = folder / fmt::format("samphire-child-{}.txt", getpid());
  {
    const other_results other(results.string());
    for (int i = 0; i < 200; ++i) {
      child_process child("samphirectl", {}, log.string(), child_output::kLog);
      child.Signal(SIGTERM);
      child.Wait();
    }
  }
  CHECK_FALSE(std::filesystem::exists(results));
  std::filesystem::remove(log);
  std::filesystem::remove(results);
}
