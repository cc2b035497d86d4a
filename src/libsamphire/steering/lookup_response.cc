#include "steering/lookup_response.h"

#include <fmt/format.h>

#include <iterator>

#include "base/log.h"

namespace samphire {

// Formats the text directly, without a JSON document: this is the most frequent
// response of the fleet, and building a tree of values first costs several
// times as much.
std::string WriteLookupResponse(const lookup_response& response) {
  std::string text;
  fmt::format_to(std::back_inserter(text), "{{\"region\":{},\"entries\":[",
                 JsonQuote(response.home_region));
  for (std::size_t i = 0; i < response.entries.size(); ++i) {
    const auto& entry = response.entries[i];
    fmt::format_to(std::back_inserter(text),
                   "{}{{\"name\":{},\"address\":{},\"region\":{}}}",
                   i == 0 ? "" : ",", JsonQuote(entry.name),
                   JsonQuote(entry.address), JsonQuote(entry.region));
  }
  fmt::format_to(std::back_inserter(text),
                 "],\"ttl_ms\":{},\"config_version\":{}}}",
                 response.ttl.count(), response.version);
  return text;
}

}  // namespace samphire
