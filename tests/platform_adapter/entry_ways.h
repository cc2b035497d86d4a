#ifndef TESTS_PLATFORM_ADAPTER_ENTRY_WAYS_H_
#define TESTS_PLATFORM_ADAPTER_ENTRY_WAYS_H_

#include <string>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/fleet_fixture.h"

namespace samphire::platform {

// An entry whose only target of the service "writes" is the test's own.
struct direct_entry {
  test_setup setup;

  direct_entry(const std::string& target_id, const std::string& target_address);
  // IP:PORT for callers.
  const std::string& address() const {
    return setup.settings.traffic.caller_address;
  }
};

// The same for an entry whose links to targets are cut, so that others pass its
// requests on.
struct relaying_entry : ticking_fleet {
  relaying_entry(const std::string& target_id,
                 const std::string& target_address,
                 const std::string& target_stamp);
  const std::string& address() const {
    return settings.front().traffic.caller_address;
  }
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_ENTRY_WAYS_H_
