#ifndef CONFIG_ENTRY_SETTINGS_H_
#define CONFIG_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// What one entry process is told at its start, from its settings file.
struct entry_settings {
  std::string instance;
  std::string region;
  std::string failure_domain;
  // IP:PORT by number. Callers, operators and peers have ports of their own.
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  // Several platform addresses are tried in turn.
  std::vector<std::string> platform_addresses;
  // Peer addresses to join by when the platform is down.
  std::vector<std::string> seeds;
  // Keys are read from files, so that no secret stands in the settings.
  std::string peer_key_file;
  std::string operator_token_file;
  std::uint32_t max_connections = 400;
  milliseconds header_timeout{5000};
  milliseconds idle_timeout{30'000};

  bool operator==(const entry_settings&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_ENTRY_SETTINGS_H_
