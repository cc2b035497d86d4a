#include "support/log_schema.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <fstream>
#include <regex>
#include <set>

namespace samphire {

namespace {

// Fields of every log line, in addition to those of its event.
const std::set<std::string> kCommon = {"time", "level", "instance", "event"};

// Returns the type of a JSON value, by its name in the table.
std::string TypeOf(const Poco::Dynamic::Var& value) {
  if (value.isBoolean())
    return "bool";
  if (value.isString())
    return "text";
  if (value.isInteger())
    return "int";
  return value.isNumeric() ? "number" : "other";
}

// Returns whether a value of `type` may stand for the documented type. A number
// may happen to be an integer.
bool MatchesType(const std::string& type, const std::string& documented) {
  return type == documented || (type == "int" && documented == "number");
}

}  // namespace

log_schema::log_schema(const std::string& page_path) {
  static const std::regex row_form("^\\| `([^`]+)` \\|[^|]*\\|([^|]*)\\|$");
  static const std::regex field_form(
      "(\\()?`([a-z_]+)` (text|int|number|bool)");
  std::ifstream page(page_path);
  for (std::string line; std::getline(page, line);) {
    std::smatch row;
    if (!std::regex_match(line, row, row_form))
      continue;
    auto& fields = events_[row[1]];
    const auto list = row[2].str();
    for (std::sregex_iterator at(list.begin(), list.end(), field_form), end;
         at != end; ++at)
      fields[(*at)[2]] = {(*at)[3], (*at)[1].matched};
  }
}

std::string log_schema::FindViolation(const std::string& line) const {
  Poco::JSON::Object::Ptr json;
  try {
    json = Poco::JSON::Parser().parse(line).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& e) {
    return "not a JSON object: " + e.displayText();
  }
  for (const auto& name : kCommon) {
    if (!json->has(name) || TypeOf(json->get(name)) != "text")
      return "no " + name;
  }
  const auto event = json->getValue<std::string>("event");
  const auto documented = events_.find(event);
  if (documented == events_.end())
    return "unlisted event " + event;
  for (const auto& [name, value] : *json) {
    if (kCommon.contains(name))
      continue;
    const auto found = documented->second.find(name);
    if (found == documented->second.end())
      return fmt::format("{} has an unlisted field {}", event, name);
    if (!MatchesType(TypeOf(value), found->second.type))
      return fmt::format("{}.{} is {}", event, name, TypeOf(value));
  }
  for (const auto& [name, what] : documented->second) {
    if (!what.optional && !json->has(name))
      return fmt::format("{} has no {}", event, name);
  }
  return {};
}

}  // namespace samphire
