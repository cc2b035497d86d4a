#ifndef TESTS_PLATFORM_ADAPTER_DIVIDED_CONFIGURATION_H_
#define TESTS_PLATFORM_ADAPTER_DIVIDED_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace samphire::platform {

// A configuration with routes to "reads", "writes" and "uploads", one
// that is divided between the first two, and others that nobody calls.
struct divided_configuration {
  std::uint64_t version = 1;
  // Weight, out of 100, of "reads" on the route "/split/"; "writes" has the
  // rest.
  int reads_weight = 50;
  std::size_t idle_routes = 0;

  // Returns the object that the store holds.
  std::string Text() const;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_DIVIDED_CONFIGURATION_H_
