#ifndef CONFIG_ENTRY_SETTINGS_H_
#define CONFIG_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Settings of one entry process, read once from its settings file at start-up.
struct entry_settings {
  // The name of this instance, the region it serves and the failure domain in
  // which it runs.
  std::string instance;
  std::string region;
  std::string failure_domain;
  // Listening addresses as numeric IP:PORT. Callers, operators and peers are
  // served on separate ports.
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  // Addresses of the platform's object API, tried in turn.
  std::vector<std::string> platform_addresses;
  // Peer addresses through which this entry joins the fleet if the platform is
  // unavailable.
  std::vector<std::string> seeds;
  // Files that hold the keys, so that the settings contain no secrets.
  std::string peer_key_file;
  std::string operator_token_file;
  // The most caller connections served at a time.
  std::uint32_t max_connections = 400;
  // The time from the first byte of a request to the end of its headers.
  milliseconds header_timeout{5000};
  // The time after which an idle connection is closed.
  milliseconds idle_timeout{30'000};

  bool operator==(const entry_settings&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_ENTRY_SETTINGS_H_
