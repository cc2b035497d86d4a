#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>

namespace {

// Appends one line per test case, "pass NAME" or "fail NAME", to the file named
// by the environment variable SAMPHIRE_TEST_RESULTS, so that scripts/test can
// count the cases of all test programs.
class result_file_listener : public Catch::TestEventListenerBase {
 public:
  using TestEventListenerBase::TestEventListenerBase;

  void testCaseEnded(const Catch::TestCaseStats& stats) override {
    const char* path = std::getenv("SAMPHIRE_TEST_RESULTS");
    if (path == nullptr)
      return;
    std::ofstream file(path, std::ios::app);
    file << (stats.totals.assertions.allOk() ? "pass " : "fail ")
         << stats.testInfo.name << "\n";
  }
};

CATCH_REGISTER_LISTENER(result_file_listener)

}  // namespace
