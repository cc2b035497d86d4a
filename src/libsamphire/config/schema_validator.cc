#include "config/schema_validator.h"

#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
// The library's headers take many seconds to compile: only this source
// includes them.
#include <valijson/adapters/poco_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "config/json_pointer.h"

namespace samphire {

namespace {

using schema_error = valijson::ValidationResults::Error;

// The library tells rules apart by its wording only. A test breaks each of
// these rules, so that a new wording shows at once.
constexpr std::string_view kUnknownFieldWording =
    "Object contains a property that could not be validated using 'properties' "
    "or 'additionalProperties' constraints: '";
constexpr std::string_view kRangeWording = "Expected number";
constexpr std::string_view kUnknownFieldEnd = "'.";

// The library writes a path as "<root>", "[services]", "[0]".
std::string PointerOf(const schema_error& fault) {
  std::string pointer;
  for (const auto& step : fault.context) {
    if (step.size() >= 2 && step.front() == '[')
      pointer +=
          JsonPointerStep(std::string_view(step).substr(1, step.size() - 2));
  }
  return pointer;
}

error ErrorOf(const schema_error& fault) {
  const std::string_view description = fault.description;
  const auto pointer = PointerOf(fault);
  if (description.starts_with(kUnknownFieldWording)) {
    auto field = description.substr(kUnknownFieldWording.size());
    field.remove_suffix(std::min(field.size(), kUnknownFieldEnd.size()));
    return MakeError(result_code::kUnknownField, std::string(field),
                     pointer + JsonPointerStep(field));
  }
  const auto code = description.starts_with(kRangeWording)
                        ? result_code::kValueOutOfRange
                        : result_code::kSchemaViolation;
  return MakeError(code, fault.description, pointer);
}

// Every level above a fault reports that something below is wrong; only the
// deepest report says what.
const schema_error& DeepestOf(const valijson::ValidationResults& faults) {
  return *std::max_element(faults.begin(), faults.end(),
                           [](const auto& a, const auto& b) {
                             return a.context.size() < b.context.size();
                           });
}

using schema_key = std::pair<std::string_view, std::string_view>;

// A part is read as the whole document with a reference to the part at its
// root, so that what the part refers to is still found.
std::shared_ptr<const valijson::Schema> ParseSchema(const schema_key& key) {
  const auto& [text, part] = key;
  Poco::JSON::Parser json_parser;
  Poco::Dynamic::Var document = json_parser.parse(std::string(text));
  if (!part.empty()) {
    const auto whole = document.extract<Poco::JSON::Object::Ptr>();
    Poco::JSON::Object::Ptr root = new Poco::JSON::Object;
    root->set("definitions", whole->get("definitions"));
    root->set("$ref", "#" + std::string(part));
    document = root;
  }
  auto schema = std::make_shared<valijson::Schema>();
  valijson::SchemaParser schema_parser;
  const valijson::adapters::PocoJsonAdapter adapter(document);
  schema_parser.populateSchema(adapter, *schema);
  return schema;
}

// Parsing a schema costs more than using it, and there are few of them.
std::shared_ptr<const valijson::Schema> SchemaOf(const schema_key& key) {
  static std::mutex lock;
  static std::map<schema_key, std::shared_ptr<const valijson::Schema>> parsed;
  std::lock_guard guard(lock);
  auto& schema = parsed[key];
  if (!schema)
    schema = ParseSchema(key);
  return schema;
}

}  // namespace

result<void> ValidateBySchema(const Poco::JSON::Object::Ptr& value,
                              std::string_view schema_text,
                              std::string_view part) {
  const auto schema = SchemaOf({schema_text, part});
  valijson::Validator validator;
  valijson::ValidationResults faults;
  const Poco::Dynamic::Var document(value);
  const valijson::adapters::PocoJsonAdapter adapter(document);
  if (validator.validate(*schema, adapter, &faults))
    return Success();
  if (faults.numErrors() == 0)
    return MakeError(result_code::kSchemaViolation, "refused without a reason");
  return ErrorOf(DeepestOf(faults));
}

}  // namespace samphire
