#include "declared_caps.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <fstream>

namespace samphire {

result<std::vector<history_event>> ReadDeclaredCaps(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return MakeError(result_code::kFileUnreadable, path);
  std::vector<history_event> caps;
  try {
    Poco::JSON::Parser parser;
    const auto root = parser.parse(file).extract<Poco::JSON::Object::Ptr>();
    const auto list = root->getArray("shift_caps");
    for (unsigned i = 0; !list.isNull() && i < list->size(); ++i) {
      const auto cap = list->getObject(i);
      caps.emplace_back(cap_declared{
          .from = cap->getValue<std::string>("from"),
          .to = cap->getValue<std::string>("to"),
          .max_in_flight = cap->getValue<std::int64_t>("max_in_flight")});
    }
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kSchemaViolation, e.displayText());
  }
  return caps;
}

}  // namespace samphire
