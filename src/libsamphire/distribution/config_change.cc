#include "distribution/config_change.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include "base/log.h"
#include "store/store_json.h"

namespace samphire {

std::string WriteChangeMembers(const config_change& change) {
  return fmt::format(
      R"("version":{},"apply_id":{},"operator":{},"witness":{},"at":{},)"
      R"("content":{},"dropped":{})",
      change.version, JsonQuote(change.apply_id),
      JsonQuote(change.operator_name), JsonQuote(change.witness),
      JsonQuote(change.at), JsonQuote(change.content),
      JsonQuote(change.dropped));
}

config_change ReadChange(const Poco::JSON::Object& json) {
  const auto text = [&](const char* name) {
    return json.getValue<std::string>(name);
  };
  return {json.getValue<std::uint64_t>("version"),
          text("apply_id"),
          text("operator"),
          text("witness"),
          text("at"),
          text("content"),
          text("dropped")};
}

// The version comes first and zero-padded to full width, so that the lines sort
// by version.
std::string WriteHistoryLine(const config_change& change) {
  return fmt::format("{:020}\t{{{}}}", change.version,
                     WriteChangeMembers(change));
}

result<config_change> ReadHistoryLine(std::string_view line) {
  const auto tab = line.find('\t');
  const auto json = tab == std::string_view::npos
                        ? Poco::JSON::Object::Ptr()
                        : ParseObject(std::string(line.substr(tab + 1)));
  try {
    if (!json.isNull())
      return ReadChange(*json);
  } catch (const Poco::Exception&) {
  }
  return MakeError(result_code::kStoreCorrupt, "malformed history line");
}

}  // namespace samphire
