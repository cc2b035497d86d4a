#ifndef DISTRIBUTION_CONFIG_CHANGE_H_
#define DISTRIBUTION_CONFIG_CHANGE_H_

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <string>

#include "base/result.h"

namespace samphire {

// One accepted change, as the history keeps it.
struct config_change {
  std::uint64_t version = 0;
  std::string apply_id;
  std::string operator_name;
  // Who witnessed it; empty if nobody had to.
  std::string witness;
  // Time of day in text.
  std::string at;
  // The digest of what was declared, to tell a repeat from a misused id.
  std::string content;
  // The chunk that lists the refs which the version before named and this one
  // doesn't; empty if there are none.
  std::string dropped;
};

// The members of the change's JSON, without the braces.
std::string WriteChangeMembers(const config_change& change);
config_change ReadChange(const Poco::JSON::Object& json);

// A line of the history chunk.
std::string WriteHistoryLine(const config_change& change);
result<config_change> ReadHistoryLine(std::string_view line);

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_CHANGE_H_
