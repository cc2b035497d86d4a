#ifndef DISTRIBUTION_CONFIG_CHANGE_H_
#define DISTRIBUTION_CONFIG_CHANGE_H_

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <string>

#include "base/result.h"

namespace samphire {

// One accepted configuration change, as recorded in the root and in the
// history.
struct config_change {
  std::uint64_t version = 0;
  // The idempotency key of the request, see apply_request.
  std::string apply_id;
  std::string operator_name;
  // The operator who witnessed the change; empty if no witness was required.
  std::string witness;
  // Wall-clock time of acceptance, as text.
  std::string at;
  // Digest of the declaration, which distinguishes a retry from an apply id
  // that was reused for another change.
  std::string content;
  // Ref of the chunk that lists the refs which the previous version named and
  // this one doesn't; empty if there are none.
  std::string dropped;
};

// Returns the members of the change's JSON object, without the braces.
std::string WriteChangeMembers(const config_change& change);
// Reads the members back; throws a Poco exception if one is missing.
config_change ReadChange(const Poco::JSON::Object& json);

// Converts a change to and from a line of the history chunk. Reading returns
// kStoreCorrupt if the line is malformed.
std::string WriteHistoryLine(const config_change& change);
result<config_change> ReadHistoryLine(std::string_view line);

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_CHANGE_H_
