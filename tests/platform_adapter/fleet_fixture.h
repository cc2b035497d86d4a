#ifndef TESTS_PLATFORM_ADAPTER_FLEET_FIXTURE_H_
#define TESTS_PLATFORM_ADAPTER_FLEET_FIXTURE_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "platform_adapter/entry_fixture.h"

namespace samphire::platform {

// Entries that know each other: all but the last one are in the region "a" of
// all targets.
struct fleet_setup {
  test_setup targets;
  std::vector<platform_settings> settings;
  std::vector<std::unique_ptr<platform_entry>> entries;

  explicit fleet_setup(std::size_t count = 4);
  call_response Request(std::size_t entry) const {
    return SendCall(settings[entry].traffic.caller_address, {});
  }
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_FLEET_FIXTURE_H_
