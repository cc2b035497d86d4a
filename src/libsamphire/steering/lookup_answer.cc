#include "steering/lookup_answer.h"

#include <fmt/format.h>

#include <iterator>

#include "base/log.h"

namespace samphire {

// Written straight into the text: this is the answer that the fleet gives most
// often, and building a tree of values first costs several times as much.
std::string WriteLookupAnswer(const lookup_answer& answer) {
  std::string text;
  fmt::format_to(std::back_inserter(text), "{{\"region\":{},\"entries\":[",
                 JsonQuote(answer.home_region));
  for (std::size_t i = 0; i < answer.entries.size(); ++i) {
    const auto& entry = answer.entries[i];
    fmt::format_to(std::back_inserter(text),
                   "{}{{\"name\":{},\"address\":{},\"region\":{}}}",
                   i == 0 ? "" : ",", JsonQuote(entry.name),
                   JsonQuote(entry.address), JsonQuote(entry.region));
  }
  fmt::format_to(std::back_inserter(text),
                 "],\"ttl_ms\":{},\"config_version\":{}}}", answer.ttl.count(),
                 answer.version);
  return text;
}

}  // namespace samphire
