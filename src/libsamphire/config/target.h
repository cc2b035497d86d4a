#ifndef CONFIG_TARGET_H_
#define CONFIG_TARGET_H_

#include <cstdint>
#include <string>

namespace samphire {

// One place that runs requests of a service.
struct target {
  std::string name;
  // IP:PORT by number.
  std::string address;
  std::string failure_domain;
  // How many requests it runs at a time.
  std::uint32_t slots = 0;
  // How many connections it accepts.
  std::uint32_t connections = 0;

  bool operator==(const target&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_TARGET_H_
