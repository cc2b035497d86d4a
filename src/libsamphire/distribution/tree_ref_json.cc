#include "distribution/tree_ref_json.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include "base/log.h"

namespace samphire {

std::string WriteTreeRef(const tree_ref& tree) {
  return fmt::format(R"({{"ref":{},"bits":{}}})", JsonQuote(tree.ref),
                     tree.bits);
}

tree_ref ReadTreeRef(const Poco::JSON::Object& json, const std::string& name) {
  const auto tree = json.getObject(name);
  if (tree.isNull())
    throw Poco::NotFoundException(name);
  return {tree->getValue<std::string>("ref"), tree->getValue<unsigned>("bits")};
}

}  // namespace samphire
