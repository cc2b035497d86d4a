#include "manifest_loader.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <vector>

#include "base/system_clock_source.h"
#include "platform_adapter/wire_text.h"
#include "support/wait_until.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

struct test_loader {
  system_clock_source clock;
  metrics counters;
  std::atomic<std::uint64_t> version = 0;
  std::atomic<int> loaded = 0;
  // Holds the thread that reads.
  std::atomic<bool> held = false;
  manifest_loader loader{clock, counters, [this](const auto& manifest) {
                           while (held)
                             std::this_thread::sleep_for(1ms);
                           version = manifest->version();
                           ++loaded;
                         }};

  void Offer(std::string value) {
    loader.Offer({.value = std::move(value), .source = "test", .position = 1});
  }
  std::int64_t Count(const char* result) {
    return counters.counter("config_versions_total", result);
  }
};

}  // namespace

// Guards against an entry that reads version after version of a series, each
// later than the one before, while only the last one matters.
TEST_CASE("a version that is superseded while another is read is never read") {
  test_loader test;
  test.held = true;
  test.loader.Start();
  test.Offer(ManifestObject("01"));
  REQUIRE(WaitUntil([&] { return test.Count(R"(result="read")") == 1; }));
  for (const char* version : {"02", "03", "04"})
    test.Offer(ManifestObject(version));
  test.held = false;
  REQUIRE(WaitUntil([&] { return test.loaded == 2; }));
  CHECK(test.version == 4);
  CHECK(test.Count(R"(result="read")") == 2);
  CHECK(test.Count(R"(result="superseded")") == 2);
}

TEST_CASE("a version that can't be read is counted and the last one stays") {
  test_loader test;
  test.loader.Start();
  test.Offer(ManifestObject("01"));
  REQUIRE(WaitUntil([&] { return test.loaded == 1; }));
  test.Offer("{");
  REQUIRE(WaitUntil([&] { return test.Count(R"(result="refused")") == 1; }));
  test.Offer(ManifestObject("03"));
  REQUIRE(WaitUntil([&] { return test.loaded == 2; }));
  CHECK(test.version == 3);
}
