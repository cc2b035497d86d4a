#include "distribution/config_root.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include "base/log.h"
#include "distribution/tree_ref_json.h"
#include "store/store_json.h"

namespace samphire {

std::string WriteRoot(const config_root& root) {
  return fmt::format(R"({{{},"frame":{},"blocks":{},"history":{}}})",
                     WriteChangeMembers(root.change), WriteTreeRef(root.frame),
                     WriteTreeRef(root.blocks), JsonQuote(root.history));
}

result<config_root> ReadRoot(const std::string& text) {
  try {
    const auto json = ParseObject(text);
    if (!json.isNull()) {
      return config_root{ReadChange(*json), ReadTreeRef(*json, "frame"),
                         ReadTreeRef(*json, "blocks"),
                         json->getValue<std::string>("history")};
    }
  } catch (const Poco::Exception&) {
  }
  return MakeError(result_code::kStoreCorrupt, kConfigRootKey);
}

}  // namespace samphire
