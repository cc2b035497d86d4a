#ifndef STEERING_LOOKUP_RESPONSE_H_
#define STEERING_LOOKUP_RESPONSE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Response to a look-up: the entries that a caller should use, in order of
// preference, and for how long.
struct lookup_response {
  struct listed_entry {
    std::string name;
    // IP:PORT.
    std::string address;
    std::string region;

    bool operator==(const listed_entry&) const = default;
  };

  std::string home_region;
  std::vector<listed_entry> entries;
  // How long the caller may use the response before it looks up again.
  milliseconds ttl{0};
  // Configuration version that the response was composed from.
  std::uint64_t version = 0;

  bool operator==(const lookup_response&) const = default;
};

// Returns the response as the JSON body that callers get over HTTP.
std::string WriteLookupResponse(const lookup_response& response);

}  // namespace samphire

#endif  // STEERING_LOOKUP_RESPONSE_H_
