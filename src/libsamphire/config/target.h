#ifndef CONFIG_TARGET_H_
#define CONFIG_TARGET_H_

#include <cstdint>
#include <string>

namespace samphire {

// A backend instance that runs requests of a service.
struct target {
  std::string name;
  // Numeric IP:PORT.
  std::string address;
  std::string failure_domain;
  // The most requests that it runs concurrently.
  std::uint32_t slots = 0;
  // The most connections that it accepts.
  std::uint32_t connections = 0;

  bool operator==(const target&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_TARGET_H_
