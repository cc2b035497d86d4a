#ifndef TESTS_PLATFORM_ADAPTER_FLEET_FIXTURE_H_
#define TESTS_PLATFORM_ADAPTER_FLEET_FIXTURE_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <stop_token>
#include <thread>
#include <vector>

#include "platform_adapter/entry_fixture.h"
#include "support/cut_links.h"

namespace samphire::platform {

// Entries that know each other: all but the last one are in the region "a" of
// all targets.
struct fleet_setup {
  test_setup targets;
  std::vector<platform_settings> settings;
  // The links of each entry to the targets.
  std::vector<std::unique_ptr<cut_links>> links;
  std::vector<std::unique_ptr<platform_entry>> entries;

  explicit fleet_setup(std::size_t count = 4);
  call_response Request(std::size_t entry) const {
    return SendCall(settings[entry].traffic.caller_address, {});
  }
};

// The same with a thread that does what the program does about once a second.
struct ticking_fleet : fleet_setup {
  explicit ticking_fleet(std::size_t count = 4) : fleet_setup(count) {}
  void Tick();

  // Guards `entries`.
  std::mutex entries_lock;
  std::jthread ticker{[this](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      Tick();
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }};
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_FLEET_FIXTURE_H_
